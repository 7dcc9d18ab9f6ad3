"""Refusal reasons that the refused process acts upon.

These are part of the protocol; all other reasons are for people only.
"""

# The sidecar follows a later holder: the refused one must stop.
LATER_EPOCH = 'a later epoch is known'
# The instance is shutting down: retry on another one immediately.
LEAVING = 'leaving'
