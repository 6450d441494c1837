package org.magnoliapick.admin.internal;

import io.dropwizard.auth.AuthDynamicFeature;
import io.dropwizard.auth.AuthValueFactoryProvider;
import io.dropwizard.auth.Authenticator;
import io.dropwizard.auth.UnauthorizedHandler;
import io.dropwizard.auth.oauth.OAuthCredentialAuthFilter;
import jakarta.ws.rs.core.Response;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.KeyHash;
import org.magnoliapick.config.OperatorConfig;
import org.magnoliapick.config.Role;
import org.magnoliapick.errors.ErrorKind;

/** Finds the operator of a bearer key. */
public final class OperatorAuth implements Authenticator<String, Operator> {
    private static final String BOOTSTRAP_NAME = "bootstrap";

    private final AdminServices mServices;

    OperatorAuth(AdminServices services) {
        mServices = services;
    }

    /** Returns what has to be registered so that resources see the operator. */
    public static List<Object> providers(AdminServices services) {
        OAuthCredentialAuthFilter<Operator> filter =
                new OAuthCredentialAuthFilter.Builder<Operator>()
                        .setAuthenticator(new OperatorAuth(services))
                        .setPrefix("Bearer")
                        .setRealm("magnoliapick")
                        .setUnauthorizedHandler(new NoOperator())
                        .buildAuthFilter();
        return List.of(
                new AuthDynamicFeature(filter),
                new AuthValueFactoryProvider.Binder<>(Operator.class));
    }

    @Override
    public Optional<Operator> authenticate(String key) {
        FleetConfig config = mServices.follower().config();
        String hash = KeyHash.of(key);
        Optional<OperatorConfig> found = Optional.empty();
        // Every hash is compared, so that the time says nothing about the operators.
        for (OperatorConfig operator : config.operators()) {
            if (KeyHash.matches(operator.keyHash(), hash)) {
                found = Optional.of(operator);
            }
        }
        return found.or(() -> bootstrap(config, hash)).map(Operator::new);
    }

    private Optional<OperatorConfig> bootstrap(FleetConfig config, String hash) {
        boolean hasAdministrator =
                config.operators().stream()
                        .anyMatch(it -> it.team().isEmpty() && it.role() == Role.ADMINISTER);
        boolean isBootstrap =
                mServices.bootstrapKeyHash().filter(it -> KeyHash.matches(it, hash)).isPresent();
        return isBootstrap && !hasAdministrator
                ? Optional.of(
                        new OperatorConfig(BOOTSTRAP_NAME, Optional.empty(), hash, Role.ADMINISTER))
                : Optional.empty();
    }

    /** Answers calls without a valid key. */
    private static final class NoOperator implements UnauthorizedHandler {
        @Override
        public Response buildResponse(String prefix, String realm) {
            return AdminException.response(
                    ErrorKind.UNAUTHENTICATED,
                    "Send the key of an operator as a bearer token",
                    Map.of());
        }
    }
}
