"""Load dispatch: slots, cold start, queue and policies."""
