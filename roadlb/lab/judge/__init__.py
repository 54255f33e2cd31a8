"""The judge: reads wire events, and tells which rules were broken and what worth was served.

    judge = Judge(rules)
    log.listen(judge.see)
    ...
    verdict = judge.verdict(at=end_us)

It trusts no word of the program under rehearsal: what it knows comes from clients, nodes, discovery and the
network.  It works online, and holds a request for as long as something about it can still go wrong.
"""

from .judge import Judge
from .rules import ClassRule, Prices, Rules, TenantRule, Weights
from .verdict import Figures, Rule, Verdict, Violation, Worth

__all__ = [
    "ClassRule",
    "Figures",
    "Judge",
    "Prices",
    "Rule",
    "Rules",
    "TenantRule",
    "Verdict",
    "Violation",
    "Weights",
    "Worth",
]
