"""Samples CPU time and memory of a fleet's entries and sidecars, and the loopback traffic.

Arguments: directory with one ROLE-NUMBER.pid file per process, seconds to sample. Prints for each role the mean CPU
usage in percent of a core and the mean and maximum resident memory; then the loopback traffic per second, which is
that of the whole machine and includes packet headers.
"""

import glob
import os
import sys
import time

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


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
    directory, seconds = sys.argv[1], float(sys.argv[2])
    pids_by_role = {}
    for path in glob.glob(os.path.join(directory, "*.pid")):
        role = os.path.basename(path).split("-")[0]
        if role in ("entry", "sidecar"):
            with open(path) as file:
                pids_by_role.setdefault(role, []).append(int(file.read()))
    cpu_before = {role: [cpu_seconds(pid) for pid in pids] for role, pids in pids_by_role.items()}
    bytes_before, started = loopback_bytes(), time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    bytes_per_second = (loopback_bytes() - bytes_before) / elapsed
    instances = sum(len(pids) for pids in pids_by_role.values())
    for role, pids in sorted(pids_by_role.items()):
        cpu_percent = [(cpu_seconds(pid) - earlier) / elapsed * 100 for pid, earlier in zip(pids, cpu_before[role])]
        memory_mib = [resident_mib(pid) for pid in pids]
        print(
            f"{role:8} x{len(pids):<3} {sum(cpu_percent) / len(cpu_percent):6.2f}% of a core, "
            f"{sum(memory_mib) / len(memory_mib):6.1f} MiB mean, {max(memory_mib):6.1f} MiB largest"
        )
    kilobytes_per_second = bytes_per_second / 1000
    print(
        f"loopback {kilobytes_per_second:.1f} KB/s in total, "
        f"{kilobytes_per_second / instances:.2f} KB/s for each of {instances} instances"
    )


main()
