"""Writes the drill file that `zinniactl report` reads, from the lines of the load generator."""

import json

EVENT_NAMES = {"zone_withdrawn": "zone withdrawn", "zone_returning": "zone returned"}


def sample_line(line):
    return {"type": "sample", "at_ms": line["t_ms"], "delivered": line["delivered"],
            "refused": sum(line["refused"].values()), "broken": line["broken"], "packets": []}


def event_line(line):
    name = EVENT_NAMES.get(line["event"], line["event"].replace("_", " "))
    return {"type": "event", "at_ms": line["t_ms"], "name": name, "detail": line.get("zone", line.get("upstream", ""))}


def totals_line(result):
    kinds = result.totals["kinds"]
    refusals = {}
    for kind in kinds.values():
        for reason, count in kind["refused"].items():
            refusals[reason] = refusals.get(reason, 0) + count
    imbalances = [value for value in result.imbalance.values() if value is not None]
    return {
        "type": "totals", "flows": result.opened, "broken_flows": result.broken, "given_up_flows": result.given_up,
        "imbalance": max(imbalances) if imbalances else None, "sent": result.sent,
        "delivered": sum(kind["delivered"] for kind in kinds.values()), "refused": sum(refusals.values()),
        "unknown": sum(kind["unknown"] for kind in kinds.values()), "wrong_answers": result.wrong,
        "false_refusals": result.false_refusals, "repeated_runs": result.repeated_runs,
        "kinds": [{"kind": name, "weight": kind["weight"], "sent": kind["sent"], "delivered": kind["delivered"]}
                  for name, kind in kinds.items()],
        "refusals": [{"reason": reason, "count": count} for reason, count in sorted(refusals.items())],
    }


def write(path, user, seed, result):
    lines = [{"type": "start", "user": user, "drill": result.name, "seed": seed}]
    for line in result.lines:
        if line["type"] == "sample":
            lines.append(sample_line(line))
        elif line["type"] == "mark":
            lines.append(event_line(line))
    lines.append(totals_line(result))
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
