package org.magnoliapick.share;

import org.magnoliapick.internal.share.DispatcherNode;
import org.magnoliapick.internal.share.StaticSplitNode;

/** Policies for sharing capacity, selectable in the settings. */
public enum SharePolicy {
    /** Each instance schedules its own requests on an equal part of each upstream's slots. */
    STATIC_SPLIT {
        @Override
        public ShareNode create(ShareSettings settings) {
            return new StaticSplitNode(settings);
        }
    },
    /** A dispatcher per pool grants each slot to the least served backlogged workspace. */
    DISPATCHER {
        @Override
        public ShareNode create(ShareSettings settings) {
            return new DispatcherNode(settings);
        }
    };

    /** Creates the share node of one entry instance. */
    public abstract ShareNode create(ShareSettings settings);
}
