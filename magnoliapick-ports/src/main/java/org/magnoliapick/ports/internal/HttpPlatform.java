package org.magnoliapick.ports.internal;

import java.util.function.LongSupplier;
import org.magnoliapick.ports.InstanceList;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.ports.ModelEngine;
import org.magnoliapick.ports.PlainService;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.ports.PlatformSettings;
import org.magnoliapick.ports.WeightStore;

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
