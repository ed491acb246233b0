#!/usr/bin/env python3
"""Prints a day of faults for the users' test bench, drawn from a seed: make_day.py SEED > day.toml

Draws from all kinds and variants of faults that the bench supports, since those that its standard sites leave out may
also occur.
"""
import random
import sys

KINDS = [
    ("srv_cut", {"share": (0.1, 0.3), "for_s": (2, 6), "how": ["", "some", "one_way", "reset", "fronts"]}),
    ("reset_conns", {"share": (0.1, 0.5), "x": (0.2, 0.8), "for_s": (2, 6)}),
    ("cloud_down", {"for_s": (2, 6), "how": ["silent", "busy", "reset"]}),
    ("cloud_slow", {"for_s": (2, 6), "x": (20, 60)}),
    ("srv_crash", {"share": (0.05, 0.2), "for_s": (2, 6), "how": ["", "dark", "gone", "rack", "domain"]}),
    ("srv_grey", {"share": (0.05, 0.15), "for_s": (3, 7), "x": (0.5, 1.0),
                  "how": ["errors", "shed", "busy", "hang", "reset", "mute", "slow"]}),
    ("srv_slow", {"share": (0.1, 0.2), "x": (3, 8), "for_s": (3, 7)}),
    ("scale_in", {"share": (0.03, 0.1), "how": ["", "spot", "reclaim"]}),
    ("scale_out", {"share": (0.1, 0.3), "gap_s": (1, 2)}),
    ("release", {"share": (0.2, 0.5), "x": (1, 2), "gap_s": (1, 2)}),
    ("node_kill", {"share": (0.1, 0.5), "for_s": (1, 5), "how": ["", "power", "leader", "leader race", "meet", "giver"]}),
    ("node_freeze", {"share": (0.1, 0.3), "for_s": (1, 5), "how": ["", "leader"]}),
    ("node_slow", {"share": (0.1, 0.3), "x": (3, 6), "for_s": (3, 6), "how": ["", "leader"]}),
    ("node_cut", {"share": (0.1, 0.3), "for_s": (3, 6), "how": ["", "all", "servers", "one_way", "leader"]}),
    ("zone_cut", {"for_s": (3, 6), "how": ["", "drop", "reset", "refuse", "one_way"]}),
    ("core_cut", {"count": (1, 2), "for_s": (3, 6), "how": ["", "leader", "all", "near", "one_way", "leader race"]}),
    ("platform_down", {"for_s": (2, 8), "how": ["silent", "busy", "reset", "busy lapse", "nodes busy", "nodes many",
                                                "nodes reset", "nodes leader", "nodes revoke"]}),
    ("platform_slow", {"x": (20, 70), "for_s": (2, 6)}),
    ("platform_lost", {"x": (0.2, 0.5), "for_s": (2, 6), "how": ["", "late"]}),
    ("platform_compact", {"x": (3, 6), "for_s": (1, 4), "how": ["", "drain", "rebalance", "rewind", "keyed"]}),
    ("applied_late", {"x": (0.03, 0.3), "for_s": (3, 6), "how": ["", "orders", "grants", "all"]}),
    ("clock_step", {"share": (0.2, 0.5), "x": (1000, 3000), "for_s": (3, 6), "how": ["", "back", "ahead"]}),
    ("after_ack_kill", {"for_s": (1, 3), "how": ["", "kill", "timed", "taken"]}),
    ("herd_kill", {"share": (0.5, 1.0), "for_s": (1, 4), "how": ["", "power"]}),
    ("replace_core", {"x": (1, 4), "how": ["", "leader", "planned"]}),
    ("config_change", {"how": ["route", "timeout", "idle"]}),
    ("config_storm", {"for_s": (2, 4), "gap_s": (0.3, 0.5)}),
    ("burst", {"x": (1.4, 2.2), "for_s": (2, 4)}),
    ("give_up", {"share": (0.1, 0.4), "for_s": (3, 6)}),
    ("poison", {"share": (0.02, 0.06), "for_s": (2, 4)}),
    ("hup", {"share": (0.3, 0.9), "gap_s": (1, 2)}),
    ("roll_term", {"share": (0.3, 1.0), "x": (1, 1), "gap_s": (1, 2), "how": ["", "busy"]}),
    ("add_nodes", {"share": (0.5, 1.0)}),
]
PLANNED = {"config_change", "roll_term", "add_nodes", "scale_in", "scale_out", "release", "hup", "config_storm"}


def entry(draw, kind, fields):
    parts = [f'kind = "{kind}"', f"at = {draw.uniform(1, 27):.2f}"]
    for name, choice in fields.items():
        if isinstance(choice, list):
            value = f'"{draw.choice(choice)}"'
        elif name == "count":
            value = str(draw.randint(*choice))
        else:
            value = f"{draw.uniform(*choice):.2f}"
        parts.append(f"{name} = {value}")
    return "  { " + ", ".join(parts) + " },"


def main():
    seed = int(sys.argv[1])
    draw = random.Random(seed)
    plan, faults = [], []
    for kind, fields in draw.sample(KINDS, draw.randint(3, 7)):
        (plan if kind in PLANNED else faults).append(entry(draw, kind, fields))
    print(f'[[day]]\nname = "drawn-{seed}"\nslot = "trouble"\nseed = {seed}\none = 0.9\nzero = 0.3\nlabels = []')
    print("goal = { floor = 0.1 }")
    if draw.random() < 0.5:
        kind = draw.choice(["power_off_all", "kill_all"])
        print(f'length_s = 41.0\nclosing = {{ kind = "{kind}", down_s = {draw.uniform(0.5, 2):.1f}, how = "taken" }}')
    print("plan = [", *plan, "]", sep="\n")
    print("faults = [", *faults, "]", sep="\n")


main()
