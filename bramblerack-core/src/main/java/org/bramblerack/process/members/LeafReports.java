package org.bramblerack.process.members;

import org.bramblerack.wire.LeafRecord;

/**
 * Decides which reports of a leaf say anything new.
 *
 * <p>Reports come late and in any order, and not all of them are from the leaf that they name. A leaf that starts again
 * under its identifier has a greater incarnation, and counts its reports anew; one life of a leaf never changes its
 * service or address. Stateless and safe for use by many threads.
 */
final class LeafReports {
    private LeafReports() {}

    /** Returns true if a report changes what is known. */
    static boolean isNewer(LeafRecord known, LeafRecord report) {
        boolean isGone = report.getPhase() == LeafRecord.Phase.GONE;
        if (isGone && report.getIncarnation() == 0) {
            // It does not say which life ends, so it is the one that is known.
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

    /** Returns what to remember of a leaf after a report that is news. */
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
