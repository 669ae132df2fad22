package org.bramblerack.process.members;

import org.bramblerack.wire.LeafRecord;

/**
 * Decides which reports on a leaf are newer than the known record, and merges them.
 *
 * <p>Reports may arrive late and in any order, and may come from another sender than the leaf that they name. A leaf
 * that restarts under its identifier has a greater incarnation and restarts its sequence numbers. An incarnation never
 * changes its service or address. Stateless and safe for use by many threads.
 */
final class LeafReports {
    private LeafReports() {}

    /** Returns true if a report is newer than the known record and differs from it. */
    static boolean isNewer(LeafRecord known, LeafRecord report) {
        boolean isGone = report.getPhase() == LeafRecord.Phase.GONE;
        if (isGone && report.getIncarnation() == 0) {
            // Without an incarnation, the report ends the known one.
            return known.getPhase() != LeafRecord.Phase.GONE;
        }
        if (report.getIncarnation() != known.getIncarnation()) {
            return report.getIncarnation() > known.getIncarnation();
        }
        if (known.getPhase() == LeafRecord.Phase.GONE) {
            return false;
        }
        return isGone || isNewerInSameIncarnation(known, report);
    }

    private static boolean isNewerInSameIncarnation(LeafRecord known, LeafRecord report) {
        boolean sameLeaf = report.getService().equals(known.getService())
                && report.getAddress().equals(known.getAddress());
        boolean becameColdOrWarm = report.getColdMillis() > 0 != known.getColdMillis() > 0;
        boolean differs =
                report.getPhase() != known.getPhase() || report.getSlots() != known.getSlots() || becameColdOrWarm;
        return sameLeaf && differs && report.getSequence() > known.getSequence();
    }

    /** Returns the record of a leaf after a newer report. */
    static LeafRecord.Builder merge(LeafRecord known, LeafRecord report) {
        if (report.getPhase() != LeafRecord.Phase.GONE) {
            return report.toBuilder();
        }
        return known.toBuilder()
                .setPhase(LeafRecord.Phase.GONE)
                .setIncarnation(Math.max(known.getIncarnation(), report.getIncarnation()))
                .setSequence(Math.max(known.getSequence(), report.getSequence()));
    }
}
