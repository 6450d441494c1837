package org.magnoliapick.gateway.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against messages that are each within their bound and together exhaust the memory. */
final class BufferBudgetTest {
    private static final int MAX_BYTES = 1 << 20;
    private static final int PIECE_BYTES = 16_384;

    private final BufferBudget mBudget = new BufferBudget(MAX_BYTES);
    private final ByteBuf mPiece = Unpooled.wrappedBuffer(new byte[PIECE_BYTES]);

    private int fill(BufferBudget.Buffer buffer, int pieces) {
        int appended = 0;
        while (appended < pieces && buffer.append(mPiece)) {
            appended++;
        }
        return appended;
    }

    @Test
    void boundsLargeMessagesTogether() {
        List<BufferBudget.Buffer> buffers = new ArrayList<>();
        int whole = 0;
        for (int i = 0; i < 40; i++) {
            BufferBudget.Buffer buffer = mBudget.newBuffer();
            buffers.add(buffer);
            whole += fill(buffer, 16) == 16 ? 1 : 0;
            assertThat(mBudget.usedBytes()).isLessThanOrEqualTo(MAX_BYTES);
        }
        assertThat(whole).isEqualTo(4);
        buffers.forEach(ByteBuf::release);
        assertThat(mBudget.usedBytes()).isZero();
        assertThat(fill(mBudget.newBuffer(), 64)).isEqualTo(64);
    }

    @Test
    void smallMessagesAlwaysFit() {
        fill(mBudget.newBuffer(), 64);
        for (int i = 0; i < 100; i++) {
            assertThat(fill(mBudget.newBuffer(), 4)).isEqualTo(4);
        }
        assertThat(fill(mBudget.newBuffer(), 5)).isEqualTo(4);
    }

    @Test
    void countsABufferUntilItsLastUser() {
        BufferBudget.Buffer buffer = mBudget.newBuffer();
        fill(buffer, 8);
        ByteBuf duplicate = buffer.retainedDuplicate();
        buffer.release();
        assertThat(mBudget.usedBytes()).isPositive();
        duplicate.release();
        assertThat(mBudget.usedBytes()).isZero();
    }
}
