"""Proofs of what must always hold, obtained under failure.

Each proof names its guards: the mechanisms without which it must fail.
`make prove-red` runs every proof once more for each guard, with that guard
switched off from the outside, and passes only if the proof then fails.
"""
