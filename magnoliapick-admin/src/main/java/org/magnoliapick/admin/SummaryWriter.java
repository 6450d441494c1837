package org.magnoliapick.admin;

import java.io.ByteArrayOutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.record.SummaryBatch;

/**
 * Appends the summaries of this instance to the log, so that they survive it. All windows that wait
 * go in one entry, so the time between two calls of {@link #step} sets the number of appends.
 */
public final class SummaryWriter {
    private static final Logger LOG = System.getLogger(SummaryWriter.class.getName());
    private static final int MAX_ENTRY_BYTES = 500_000;

    private final LogService mLog;
    private final String mStream;
    private final DecisionKeeper mKeeper;
    private final Duration mTimeout;

    /** Creates a writer to the stream of a failure domain. */
    public SummaryWriter(
            LogService log, String failureDomain, DecisionKeeper keeper, Duration timeout) {
        mLog = log;
        mStream = SummaryReader.stream(failureDomain);
        mKeeper = keeper;
        mTimeout = timeout;
    }

    /** Appends what waits; returns whether nothing was left behind. */
    public boolean step() {
        List<SummaryBatch> pending = mKeeper.pending();
        if (pending.isEmpty()) {
            return true;
        }
        List<SummaryBatch> written = new ArrayList<>();
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        for (SummaryBatch batch : pending) {
            byte[] line = batch.encode();
            if (!written.isEmpty() && payload.size() + line.length > MAX_ENTRY_BYTES) {
                break;
            }
            payload.writeBytes(line);
            payload.write('\n');
            written.add(batch);
        }
        AppendResult result = mLog.append(mStream, payload.toByteArray(), mTimeout);
        if (result instanceof AppendResult.Appended) {
            mKeeper.written(written);
            return written.size() == pending.size();
        }
        // A batch appended twice counts once, so a lost answer is no reason to give it up.
        LOG.log(Level.WARNING, "[record] Summaries wait: {0}.", result);
        return false;
    }
}
