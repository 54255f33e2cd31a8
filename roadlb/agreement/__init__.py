"""Settings and lists in versions on which the balancers agree: deciders without I/O, for both sides.

`rules` says what contradicts what; `issuer` and `follower` are the two sides, `lease` their arithmetic of
time; `events` is what they are told and what they answer.  docs/design/agreement.md has the protocol.
"""
