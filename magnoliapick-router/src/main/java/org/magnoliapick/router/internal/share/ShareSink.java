package org.magnoliapick.router.internal.share;

import java.util.List;
import org.magnoliapick.share.ShareAction;

/** Carries out what the sharing decisions ask for. Called on the thread of the share loop. */
public interface ShareSink {
    /** Carries out the actions in order; must not block. */
    void perform(List<ShareAction> actions);
}
