"""Samples processor time, memory and loopback traffic of the processes of a fleet.

Arguments: folder with one NAME.pid file a process, seconds to sample. Prints per role the mean share of a core, the
mean and largest resident memory, and the loopback bytes a second of the whole machine, headers included.
"""

import glob
import os
import sys
import time

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mib(pid):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def loopback_bytes():
    with open("/proc/net/dev") as devices:
        for line in devices:
            if line.strip().startswith("lo:"):
                return int(line.split()[1])
    return 0


def main():
    folder, seconds = sys.argv[1], float(sys.argv[2])
    roles = {}
    for path in glob.glob(os.path.join(folder, "*.pid")):
        role = os.path.basename(path).split("-")[0]
        if role in ("entry", "sidecar"):
            with open(path) as file:
                roles.setdefault(role, []).append(int(file.read()))
    before = {role: [cpu_seconds(pid) for pid in pids] for role, pids in roles.items()}
    bytes_before, begun = loopback_bytes(), time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - begun
    total = (loopback_bytes() - bytes_before) / elapsed
    nodes = sum(len(pids) for pids in roles.values())
    for role, pids in sorted(roles.items()):
        cpu = [(cpu_seconds(pid) - old) / elapsed * 100 for pid, old in zip(pids, before[role])]
        memory = [resident_mib(pid) for pid in pids]
        print(
            f"{role:8} x{len(pids):<3} {sum(cpu) / len(cpu):6.2f}% of a core, "
            f"{sum(memory) / len(memory):6.1f} MiB mean, {max(memory):6.1f} MiB largest"
        )
    print(f"loopback {total / 1000:.1f} KB/s in all, {total / nodes / 1000:.2f} KB/s for each of {nodes} nodes")


main()
