package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.bramblerack.version.routing.RouteTarget;
import org.junit.jupiter.api.Test;

final class SplitCursorTest {
    @Test
    void manyHostsWithFewRequestsEachDivideThemByWeight() {
        RouteTarget.Split split =
                new RouteTarget.Split(ImmutableList.of(new RouteTarget.Share("a", 85), new RouteTarget.Share("b", 15)));
        SplittableRandom random = new SplittableRandom(1);
        for (int each = 1; each <= 6; each++) {
            int toSecond = 0;
            for (int host = 0; host < 300; host++) {
                SplitCursor cursor = SplitCursor.startingAtRandom(split, random);
                for (int request = 0; request < each; request++) {
                    toSecond += cursor.nextService().equals("b") ? 1 : 0;
                }
            }
            assertThat(toSecond / (300.0 * each)).isWithin(0.05).of(0.15);
        }
    }

    @Test
    void eachServiceGetsItsShareWithinOneRequest() {
        SplitCursor cursor = new SplitCursor(new RouteTarget.Split(ImmutableList.of(
                new RouteTarget.Share("a", 5), new RouteTarget.Share("b", 3), new RouteTarget.Share("c", 0))));
        Map<String, Integer> counts = new HashMap<>();
        for (int request = 1; request <= 1_000; request++) {
            counts.merge(cursor.nextService(), 1, Integer::sum);
            assertThat(counts.getOrDefault("a", 0) - request * 5 / 8.0)
                    .isWithin(1.0)
                    .of(0);
            assertThat(counts.getOrDefault("b", 0) - request * 3 / 8.0)
                    .isWithin(1.0)
                    .of(0);
            assertThat(counts).doesNotContainKey("c");
        }
    }
}
