package org.magnoliapick.standin;

import java.io.IOException;

/** Makes the server close the connection as it stands. */
final class CutException extends IOException {
    private static final long serialVersionUID = 1L;

    CutException(String reason) {
        super(reason);
    }
}
