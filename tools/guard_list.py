"""All guards that the proofs rely on, except those of I9."""

from tools import guards_holders
from tools import guards_ledger
from tools import guards_requests
from tools import guards_tasks
from tools import guards_unknown

GUARDS = [
    *guards_ledger.GUARDS,
    *guards_tasks.GUARDS,
    *guards_holders.GUARDS,
    *guards_requests.GUARDS,
    *guards_unknown.GUARDS,
]
