"""Claims idempotency keys in the object store with group commit."""

from banyandale_claims._decisions import Decision
from banyandale_claims._decisions import Granted
from banyandale_claims._decisions import Identity
from banyandale_claims._decisions import InProgress
from banyandale_claims._decisions import KeyReused
from banyandale_claims._decisions import NotKept
from banyandale_claims._decisions import Refused
from banyandale_claims._decisions import Replay
from banyandale_claims._decisions import StoredResponse
from banyandale_claims._decisions import Unknown
from banyandale_claims._errors import ClaimError
from banyandale_claims._errors import ClaimsBusyError
from banyandale_claims._errors import ClaimsUnavailableError
from banyandale_claims._records import hash_request
from banyandale_claims._router import Claim
from banyandale_claims._router import ClaimRouter
from banyandale_claims._router import MalformedClaimError
from banyandale_claims._router import REQUEST_KIND
from banyandale_claims._store import ClaimStore

__all__ = [
    "REQUEST_KIND",
    "Claim",
    "ClaimError",
    "ClaimRouter",
    "ClaimStore",
    "ClaimsBusyError",
    "ClaimsUnavailableError",
    "Decision",
    "Granted",
    "Identity",
    "InProgress",
    "KeyReused",
    "MalformedClaimError",
    "NotKept",
    "Refused",
    "Replay",
    "StoredResponse",
    "Unknown",
    "hash_request",
]
