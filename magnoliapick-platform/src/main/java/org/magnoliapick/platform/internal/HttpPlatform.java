package org.magnoliapick.platform.internal;

import java.util.function.LongSupplier;
import org.magnoliapick.platform.InstanceList;
import org.magnoliapick.platform.LogService;
import org.magnoliapick.platform.ModelEngine;
import org.magnoliapick.platform.PlainService;
import org.magnoliapick.platform.Platform;
import org.magnoliapick.platform.PlatformSettings;
import org.magnoliapick.platform.WeightStore;

/** Wires one HTTP adapter to each port. */
public final class HttpPlatform implements Platform {
    private final HttpTransport mTransport;
    private final ModelEngine mModelEngine;
    private final PlainService mPlainService;
    private final LogService mLogService;
    private final InstanceList mInstanceList;
    private final WeightStore mWeightStore;

    /** Opens the connection pool; connections are made on use. */
    public HttpPlatform(PlatformSettings settings, LongSupplier nowMillis) {
        mTransport = new HttpTransport(settings, nowMillis);
        mModelEngine = new HttpModelEngine(mTransport);
        mPlainService = new HttpPlainService(mTransport);
        mLogService = new HttpLogService(mTransport, settings.log());
        mInstanceList = new HttpInstanceList(mTransport, settings.instanceList());
        mWeightStore = new HttpWeightStore(mTransport, settings.weightStore());
    }

    @Override
    public ModelEngine modelEngine() {
        return mModelEngine;
    }

    @Override
    public PlainService plainService() {
        return mPlainService;
    }

    @Override
    public LogService logService() {
        return mLogService;
    }

    @Override
    public InstanceList instanceList() {
        return mInstanceList;
    }

    @Override
    public WeightStore weightStore() {
        return mWeightStore;
    }

    @Override
    public void close() {
        mTransport.close();
    }
}
