package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ForgetMembers;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.PutConfiguration;
import org.bramblerack.wire.SetShardAccess;
import org.bramblerack.wire.SetZoneDrain;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.Test;

final class ReplicatedTablesTest {
    private final ReplicatedTables tables = new ReplicatedTables();

    @Test
    void theHighestVersionIsInForceAndIsNeverReplacedByAnother() {
        put(5, "five");
        put(4, "four");
        CommandResult again = put(5, "other");
        assertThat(again.getKind()).isEqualTo(CommandResult.Kind.SUPERSEDED);
        assertThat(tables.configuration().toStringUtf8()).isEqualTo("five");
        put(9, "nine");
        assertThat(tables.configurationVersion()).isEqualTo(9);
    }

    @Test
    void aLateReportOfALeafUndoesNothing() {
        tables.applyReport(leaf("l", LeafRecord.Phase.READY, 1));
        tables.applyReport(leaf("l", LeafRecord.Phase.DRAINING, 3));
        tables.applyReport(leaf("l", LeafRecord.Phase.READY, 2));
        assertThat(phase("l")).isEqualTo(LeafRecord.Phase.DRAINING);
    }

    @Test
    void aLeafThatHasLeftStaysGone() {
        tables.applyReport(leaf("l", LeafRecord.Phase.READY, 1));
        tables.applyReport(leaf("l", LeafRecord.Phase.GONE, 0));
        tables.applyReport(leaf("l", LeafRecord.Phase.READY, 9));
        assertThat(phase("l")).isEqualTo(LeafRecord.Phase.GONE);
        assertThat(tables.leaf("l").orElseThrow().getService()).isEqualTo("s");
    }

    @Test
    void aLeafMayLeaveBeforeItIsKnown() {
        tables.applyReport(leaf("l", LeafRecord.Phase.GONE, 0));
        tables.applyReport(leaf("l", LeafRecord.Phase.READY, 1));
        assertThat(tables.presentLeaves()).isEmpty();
    }

    @Test
    void anUnchangedReportIsNoChange() {
        tables.applyReport(leaf("l", LeafRecord.Phase.READY, 1));
        assertThat(tables.wouldChange(leaf("l", LeafRecord.Phase.READY, 2))).isFalse();
        assertThat(tables.wouldChange(leaf("l", LeafRecord.Phase.DRAINING, 2))).isTrue();
    }

    @Test
    void onlyTheSilentIncarnationOfAHostIsMarkedGone() {
        tables.applyReport(host("h", 1));
        HostRecord silent = tables.host("h").orElseThrow();
        tables.applyReport(host("h", 2));
        tables.markGone(ForgetMembers.newBuilder().addHosts(silent).build());
        assertThat(tables.presentHosts()).hasSize(1);
        tables.markGone(ForgetMembers.newBuilder()
                .addHosts(tables.host("h").orElseThrow())
                .build());
        assertThat(tables.presentHosts()).isEmpty();
        tables.applyReport(host("h", 3));
        assertThat(tables.presentHosts()).hasSize(1);
    }

    /** A follower that polls at random times, and sometimes restarts empty, must match the tables after each poll. */
    @Test
    void accumulatedDeltasMatchTheTables() {
        SplittableRandom random = new SplittableRandom(7);
        Map<String, LeafRecord> followed = new HashMap<>();
        long known = 0;
        long version = 0;
        for (int step = 0; step < 20_000; step++) {
            change(random, step);
            if (random.nextInt(2_000) == 0) {
                known = 0;
                followed.clear();
            }
            if (random.nextInt(100) == 0) {
                TableDelta delta = tables.changesSince(known).build();
                if (delta.getWhole()) {
                    followed.clear();
                }
                delta.getLeavesList().forEach(leaf -> followed.put(leaf.getId(), leaf));
                followed.values().removeIf(leaf -> leaf.getPhase() == LeafRecord.Phase.GONE);
                known = delta.getRevision();
                version = delta.getConfigurationVersion();
                assertThat(followed.values()).containsExactlyElementsIn(tables.presentLeaves());
                assertThat(version).isEqualTo(tables.configurationVersion());
            }
        }
    }

    @Test
    void aSnapshotRestoresAllTables() {
        put(3, "three");
        tables.applyReport(leaf("l", LeafRecord.Phase.READY, 1));
        tables.applyReport(leaf("m", LeafRecord.Phase.GONE, 1));
        tables.applyReport(host("h", 1));
        tables.set(SetShardAccess.newBuilder().setThroughHolders(true).build());
        order("north-1", true, 0);
        order("north-2", true, 0);
        order("north-2", false, 1);
        ReplicatedTables restored = new ReplicatedTables();
        restored.restore(tables.toSnapshot());
        assertThat(restored.toSnapshot()).isEqualTo(tables.toSnapshot());
        assertThat(restored.wouldChange(leaf("m", LeafRecord.Phase.READY, 5))).isFalse();
    }

    @Test
    void aShardAccessChangeIsInTheNextDelta() {
        long before = tables.revision();
        tables.set(SetShardAccess.newBuilder().setThroughHolders(true).build());
        assertThat(tables.revision()).isGreaterThan(before);
        assertThat(tables.changesSince(before).getThroughHolders()).isTrue();
        long changed = tables.revision();
        tables.set(SetShardAccess.newBuilder().setThroughHolders(true).build());
        assertThat(tables.revision()).isEqualTo(changed);
    }

    /** Drain commands are resent when their acknowledgement is lost, so repeated ones must have no effect. */
    @Test
    void aDrainedZoneStaysDrainedUntilTheDrainIsLifted() {
        long before = tables.revision();
        assertThat(drain("north-1", true).getKind()).isEqualTo(CommandResult.Kind.ACCEPTED);
        long drained = tables.revision();
        assertThat(drained).isGreaterThan(before);
        assertThat(drain("north-1", true).getKind()).isEqualTo(CommandResult.Kind.SUPERSEDED);
        assertThat(tables.revision()).isEqualTo(drained);
        put(5, "five");
        assertThat(tables.changesSince(drained).getDrainedZonesList()).containsExactly("north-1");
        drain("north-1", false);
        drain("north-1", false);
        assertThat(tables.drainedZones()).isEmpty();
        assertThat(tables.changesSince(drained).getDrainedZonesList()).isEmpty();
    }

    /** Guards against a drained zone that receives requests because of an order older than the one that drained it. */
    @Test
    void anOrderOnAZoneThatComesLateDoesNotUndoANewerOne() {
        assertThat(order("north-1", true, 0).getKind()).isEqualTo(CommandResult.Kind.ACCEPTED);
        assertThat(order("north-1", false, 1).getKind()).isEqualTo(CommandResult.Kind.ACCEPTED);
        assertThat(order("north-1", true, 2).getKind()).isEqualTo(CommandResult.Kind.ACCEPTED);
        CommandResult late = order("north-1", false, 1);
        assertThat(late.getKind()).isEqualTo(CommandResult.Kind.CONFLICT);
        assertThat(late.getZoneOrder()).isEqualTo(3);
        assertThat(tables.drainedZones()).containsExactly("north-1");
        assertThat(tables.lastZoneOrder("north-1")).isEqualTo(3);
    }

    @Test
    void anOrderThatChangesNothingIsNewerThanThoseBeforeIt() {
        order("north-1", true, 0);
        long drained = tables.revision();
        assertThat(order("north-1", true, 1).getKind()).isEqualTo(CommandResult.Kind.SUPERSEDED);
        assertThat(tables.revision()).isEqualTo(drained);
        assertThat(order("north-1", false, 1).getKind()).isEqualTo(CommandResult.Kind.CONFLICT);
        assertThat(tables.drainedZones()).containsExactly("north-1");
    }

    /** The order is proposed again, or comes from a host that has not applied the last one. */
    @Test
    void anOrderThatFollowsAnOlderNumberIsAcceptedIfItChangesNothing() {
        order("north-1", true, 0);
        assertThat(order("north-1", true, 0).getKind()).isEqualTo(CommandResult.Kind.SUPERSEDED);
        assertThat(order("north-1", false, 1).getKind()).isEqualTo(CommandResult.Kind.CONFLICT);
        assertThat(tables.drainedZones()).containsExactly("north-1");
    }

    @Test
    void ordersOnOtherZonesAreIndependent() {
        order("north-1", true, 0);
        assertThat(order("north-2", true, 0).getKind()).isEqualTo(CommandResult.Kind.ACCEPTED);
        assertThat(order("north-1", false, 1).getKind()).isEqualTo(CommandResult.Kind.ACCEPTED);
        assertThat(tables.drainedZones()).containsExactly("north-2");
    }

    private CommandResult order(String zone, boolean drained, long expectedOrder) {
        return tables.set(SetZoneDrain.newBuilder()
                .setZone(zone)
                .setDrained(drained)
                .setExpectedOrder(expectedOrder)
                .build());
    }

    private CommandResult drain(String zone, boolean drained) {
        return tables.set(
                SetZoneDrain.newBuilder().setZone(zone).setDrained(drained).build());
    }

    private void change(SplittableRandom random, int step) {
        switch (random.nextInt(4)) {
            case 0 -> put(step, "document " + step);
            case 1 -> tables.applyReport(leaf("l" + random.nextInt(6_000), LeafRecord.Phase.READY, step + 1));
            case 2 -> tables.applyReport(leaf("l" + random.nextInt(6_000), LeafRecord.Phase.DRAINING, step + 1));
            default -> tables.applyReport(leaf("l" + random.nextInt(6_000), LeafRecord.Phase.GONE, 0));
        }
    }

    private CommandResult put(long version, String document) {
        return tables.putConfiguration(PutConfiguration.newBuilder()
                .setVersion(version)
                .setDocument(ByteString.copyFromUtf8(document))
                .build());
    }

    private LeafRecord.Phase phase(String id) {
        return tables.leaf(id).orElseThrow().getPhase();
    }

    private static LeafRecord leaf(String id, LeafRecord.Phase phase, long sequence) {
        LeafRecord.Builder leaf =
                LeafRecord.newBuilder().setId(id).setPhase(phase).setSequence(sequence);
        return phase == LeafRecord.Phase.GONE
                ? leaf.build()
                : leaf.setService("s").setAddress("10.0.0.1:1").setSlots(2).build();
    }

    private static HostRecord host(String name, long incarnation) {
        return HostRecord.newBuilder()
                .setName(name)
                .setIncarnation(incarnation)
                .setPhase(HostRecord.Phase.READY)
                .build();
    }
}
