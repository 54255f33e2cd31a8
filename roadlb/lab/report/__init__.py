"""Reports of a rehearsal, from its wire log and its verdict: a page, pictures, JSON, tables.

    subject = Subject("rolling-deploy", "Four nodes in five replaced", seed=7, world="sim", log=log,
                      verdict=verdict, rules=rules)
    html.page(subject); machine.document(subject); plots.save(subject, folder); tables.print_report(subject)

matplotlib and rich are loaded only by `plots` and `tables`.
"""

from .subject import Subject

__all__ = ["Subject"]
