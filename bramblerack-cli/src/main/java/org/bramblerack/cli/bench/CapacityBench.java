package org.bramblerack.cli.bench;

/** Prints the tables of {@code docs/CAPACITY.md} that {@link CapacityModel} computes. */
final class CapacityBench implements Bench {
    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String summary() {
        return "prints the tables of docs/CAPACITY.md from the measured slopes";
    }

    @Override
    public boolean run(Report report, long seed) {
        CapacityModel.tables().forEach(line -> report.line("%s", line));
        return true;
    }
}
