"""The fencing tokens of the calls to workers under one leader.

A worker that restarts under its id accepts calls that were meant for its former
incarnation. The token of its calls is higher from then on, so that it refuses
what was sent before once it has answered a call with the new one.
"""


class FencingTokens:
    """One token for each worker; none reaches that of the next leader.

    A leader's own token is the revision at which its key was created. Revisions
    that the store had while that key was held are lower than the next one's.
    """

    def __init__(self, term_token: int) -> None:
        """Start with the leader's own token for all workers."""
        self._term_token = term_token
        self._max_token = term_token
        self._tokens: dict[str, int] = {}

    def of_worker(self, worker_id: str) -> int:
        """Return the token of the calls to a worker."""
        return self._tokens.get(worker_id, self._term_token)

    def allow(self, revision: int) -> None:
        """Allow tokens up to a revision that the store had under this key."""
        self._max_token = max(self._max_token, revision)

    def advance(self, worker_id: str) -> None:
        """Use a higher token for the next incarnation, if one is allowed."""
        following = self.of_worker(worker_id) + 1
        self._tokens[worker_id] = min(following, self._max_token)
