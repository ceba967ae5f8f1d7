# chaser: does not read the scaler's counts at all. It holds models where calls wait, one copy
# more for each dozen waiting, packs replicas tightly, and forgets what nobody asks for.

def holding(fleet, unit):
    return [r for r in fleet["replicas"] if r["usable"] and (unit in r["holds"] or r["loading"] == unit)]

def tightest(fleet, size, taken, unit, base):
    fits = [
        r
        for r in fleet["replicas"]
        if r["usable"] and not r["busy"] and r["id"] not in taken and r["free"] >= size and
           unit not in r["holds"] and (base == None or base in r["holds"])
    ]
    return sorted(fits, key = lambda r: (r["free"], r["id"]))[0] if fits else None

def propose(fleet):
    out = []
    taken = {}
    units = [(m, v, None) for m, v in fleet["models"].items()] + [(a, v, v["model"]) for a, v in fleet["adapters"].items()]
    for unit, v, base in sorted(units, key = lambda u: (-u[1]["waiting"], u[0])):
        have = len(holding(fleet, unit))
        want = 1 + v["waiting"] // 12 if v["waiting"] > 0 or v["rate"] > 0 else 0
        if have >= want:
            continue
        r = tightest(fleet, v["size"], taken, unit, base)
        if r != None:
            out.append({"step": "load", "replica": r["id"], "unit": unit, "why": "%d waiting" % v["waiting"]})
            taken[r["id"]] = True
            continue
        idle = [
            (r2, u)
            for r2 in fleet["replicas"]
            if r2["usable"] and not r2["busy"] and r2["id"] not in taken
            for u in r2["holds"]
            if u in fleet["models"] and fleet["models"][u]["rate"] == 0 and fleet["models"][u]["waiting"] == 0 and
               not [a for a in r2["holds"] if a in fleet["adapters"] and fleet["adapters"][a]["model"] == u]
        ]
        if base == None and idle:
            r2, u = idle[0]
            out.append({"step": "unload", "replica": r2["id"], "unit": u, "why": "idle, room for " + unit})
            taken[r2["id"]] = True
    return out[:32]
