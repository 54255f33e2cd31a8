"""The look of the page.  Colours are told apart by the colour-blind (Okabe and Ito), by day and by night."""

CSS = """
:root { --back: #ffffff; --ink: #1c1c1c; --soft: #666; --line: #d9d9d9; --card: #f5f5f5;
        --blue: #0072b2; --sky: #56b4e9; --green: #009e73; --orange: #e69f00; --red: #d55e00;
  --pink: #cc79a7; }
@media (prefers-color-scheme: dark) {
  :root { --back: #161616; --ink: #eaeaea; --soft: #a0a0a0; --line: #3a3a3a; --card: #232323; } }
body { margin: 0; background: var(--back); color: var(--ink); font: 15px/1.45 system-ui, sans-serif; }
main { max-width: 1080px; margin: 0 auto; padding: 1.2rem; }
h1 { font-size: 1.5rem; margin: 0 0 .3rem; } h2 { font-size: 1.1rem; margin: 1.8rem 0 .3rem; }
h3 { font: 600 .85rem ui-monospace, monospace; margin: .5rem 0 0; white-space: pre; }
.fine { color: var(--soft); font-size: .85rem; overflow-wrap: anywhere; }
.kept { color: var(--green); font-weight: 700; margin: 0; }
.broken { color: var(--red); font-weight: 700; margin: 0; }
.cards { display: flex; flex-wrap: wrap; gap: .6rem; margin: .8rem 0; }
.card { background: var(--card); border-radius: 6px; padding: .5rem .8rem; flex: 1 1 9rem; }
.card .name { color: var(--soft); font-size: .85rem; }
.card .value { font-size: 1.35rem; font-weight: 600; }
.steps { padding-left: 1.3rem; margin: .5rem 0; }
.chart { width: 100%; height: auto; display: block; }
.chart text { fill: var(--soft); font-size: 10px; } .chart .tick { text-anchor: middle; }
.chart .top { text-anchor: end; } .chart .axis { stroke: var(--line); }
.chart line, .chart polyline, .chart path { fill: none; stroke-width: 1.3; }
.chart rect { stroke: none; opacity: .22; }
.asked { fill: var(--line); background: var(--line); }
.served { fill: var(--blue); background: var(--blue); }
.refused { fill: var(--orange); background: var(--orange); }
.failed { fill: var(--red); background: var(--red); }
polygon.broken, i.broken { fill: var(--pink); background: var(--pink); }
.sent { fill: var(--sky); background: var(--sky); }
.capacity { stroke: var(--ink); background: var(--ink); }
.open { stroke: var(--pink); background: var(--pink); }
.cold { fill: var(--blue); background: var(--blue); }
.draining { fill: var(--orange); background: var(--orange); }
.paused { fill: var(--ink); background: var(--ink); } .cut { fill: var(--red); background: var(--red); }
.slowed { fill: var(--green); background: var(--green); }
.step { stroke: var(--soft); stroke-dasharray: 3 3; background: var(--soft); }
.violation { stroke: var(--red); background: var(--red); }
.stopped { stroke: var(--orange); background: var(--orange); }
.fell { stroke: var(--red); background: var(--red); } path.fell { stroke-width: 3; }
.legend span { margin-right: .9rem; white-space: nowrap; font-size: .85rem; }
.legend b { font-weight: 400; }
.legend i { display: inline-block; width: .8em; height: .8em; margin-right: .35em; border-radius: 2px; }
.wide { overflow-x: auto; } table { border-collapse: collapse; margin: .5rem 0; font-size: .88rem; }
th, td { text-align: left; padding: .2rem .7rem .2rem 0; border-bottom: 1px solid var(--line);
  vertical-align: top; }
details { border-bottom: 1px solid var(--line); padding: .35rem 0; } summary { cursor: pointer; }
details td { font: .8rem ui-monospace, monospace; }
"""
