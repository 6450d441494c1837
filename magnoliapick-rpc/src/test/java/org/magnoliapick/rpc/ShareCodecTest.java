package org.magnoliapick.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.rpc.gen.ShareItem;
import org.magnoliapick.share.ShareMessage;

final class ShareCodecTest {
    private static final String SEED = "4711";

    @Property(seed = SEED, tries = 300)
    void readsWhatItWrote(
            @ForAll @AlphaChars @StringLength(min = 1, max = 30) String name,
            @ForAll long number,
            @ForAll double units,
            @ForAll boolean flag,
            @ForAll @IntRange(max = 4) int kind) {
        ShareMessage message = message(kind, name, number, units, flag);
        assertThat(ShareCodec.decode(ShareCodec.encode(message)))
                .isEqualTo(new DecodedShare.Whole(message));
    }

    @Property(seed = SEED, tries = 500)
    void anyBytesGiveAResult(
            @ForAll @IntRange(max = 7) int kind, @ForAll @Size(max = 200) byte[] bytes) {
        ShareItem item = new ShareItem();
        item.setKind(kind);
        item.setContent(bytes);
        assertThat(ShareCodec.decode(item)).isNotNull();
    }

    @Property(seed = SEED, tries = 300)
    void aCutMessageIsMalformed(
            @ForAll @IntRange(max = 4) int kind, @ForAll @IntRange(min = 1, max = 50) int cut) {
        ShareItem item = ShareCodec.encode(message(kind, "name", 5, 1.5, true));
        byte[] content = item.getContent();
        item.setContent(Arrays.copyOf(content, Math.max(0, content.length - cut)));
        assertThat(ShareCodec.decode(item)).isInstanceOf(DecodedShare.Malformed.class);
    }

    @Property(seed = SEED, tries = 1)
    void aMissingContentIsMalformed() {
        assertThat(ShareCodec.decode(new ShareItem())).isInstanceOf(DecodedShare.Malformed.class);
    }

    private static ShareMessage message(
            int kind, String name, long number, double units, boolean flag) {
        PoolId pool = new PoolId(new FailureDomain(name), name);
        WorkspaceId workspace = new WorkspaceId(name);
        UpstreamId upstream = new UpstreamId(name);
        int count = (int) number;
        Optional<UpstreamId> preferred = flag ? Optional.of(upstream) : Optional.empty();
        switch (kind) {
            case 0:
                return new ShareMessage.Heartbeat(number);
            case 1:
                return new ShareMessage.Leaving(number);
            case 2:
                return new ShareMessage.Demand(
                        pool,
                        number,
                        number,
                        flag,
                        List.of(
                                new ShareMessage.WorkspaceDemand(
                                        workspace, name, count, number, units, units, units, units,
                                        preferred)),
                        List.of(new ShareMessage.UpstreamUse(upstream, count, number)),
                        List.of(upstream));
            case 3:
                return new ShareMessage.Grants(
                        pool,
                        number,
                        flag,
                        List.of(new ShareMessage.Window(upstream, count)),
                        List.of(new ShareMessage.Grant(workspace, name, upstream, units)));
            default:
                return new ShareMessage.AttainedService(
                        pool,
                        number,
                        number,
                        List.of(new ShareMessage.ServiceTotal(workspace, units, units, flag)));
        }
    }
}
