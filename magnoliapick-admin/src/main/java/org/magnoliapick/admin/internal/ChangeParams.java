package org.magnoliapick.admin.internal;

import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.QueryParam;
import java.util.Optional;

/** The parameters that every changing call takes. */
public final class ChangeParams {
    @QueryParam("reason")
    @DefaultValue("")
    private String mReason = "";

    @QueryParam("token")
    private String mToken;

    @QueryParam("dryRun")
    @DefaultValue("false")
    private boolean mIsDryRun;

    /** Returns why the change is made, in the operator's words. */
    String reason() {
        return mReason;
    }

    /** Returns the identifier that the operator chose for the change. */
    Optional<String> token() {
        return Optional.ofNullable(mToken).filter(it -> !it.isBlank());
    }

    /** Returns whether the change is only checked. */
    boolean isDryRun() {
        return mIsDryRun;
    }
}
