package org.magnoliapick.router;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.YamlConfigurationFactory;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.core.sslreload.SslReloadBundle;
import jakarta.validation.Validator;
import java.time.InstantSource;
import org.magnoliapick.admin.AdminApi;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.ports.PlatformSettings;
import org.magnoliapick.router.internal.HealthResource;
import org.magnoliapick.router.internal.RouterModule;
import org.magnoliapick.router.internal.RouterTree;
import org.magnoliapick.router.internal.ShutdownHook;
import org.magnoliapick.router.internal.admin.MetricsResource;
import org.magnoliapick.router.internal.caller.ModelResource;
import org.magnoliapick.router.internal.caller.ServiceResource;
import org.magnoliapick.router.internal.caller.StoppingPart;

/** The entry instance as a Dropwizard application. */
public final class RouterApplication extends Application<RouterSettings> {
    @Override
    public String getName() {
        return "magnoliapick-router";
    }

    @Override
    public void initialize(Bootstrap<RouterSettings> bootstrap) {
        bootstrap.addBundle(new SslReloadBundle());
        bootstrap.setConfigurationFactoryFactory(RouterApplication::strictFactory);
    }

    /** Reads settings so that a key nobody knows is a fault, not a silence. */
    private static <T> ConfigurationFactory<T> strictFactory(
            Class<T> type, Validator validator, ObjectMapper mapper, String prefix) {
        ObjectMapper strict =
                mapper.copy().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        return new YamlConfigurationFactory<>(type, validator, strict, prefix);
    }

    @Override
    public void run(RouterSettings settings, Environment environment) {
        InstantSource clock = InstantSource.system();
        Platform platform = Platform.http(platformSettings(settings), clock::millis);
        Injector injector = Guice.createInjector(new RouterModule(settings, platform, clock));
        environment.jersey().register(injector.getInstance(HealthResource.class));
        environment.jersey().register(injector.getInstance(ModelResource.class));
        environment.jersey().register(injector.getInstance(ServiceResource.class));
        environment.jersey().register(injector.getInstance(MetricsResource.class));
        AdminApi.register(environment.jersey(), injector.getInstance(AdminServices.class));
        environment.lifecycle().manage(injector.getInstance(RouterTree.class));
        StoppingPart stopping = injector.getInstance(StoppingPart.class);
        environment.lifecycle().addServerLifecycleListener(new ShutdownHook(stopping)::install);
    }

    private static PlatformSettings platformSettings(RouterSettings settings) {
        PlatformAddresses addresses = settings.platform();
        return PlatformSettings.of(
                PlatformAddresses.endpoint(addresses.log()),
                PlatformAddresses.endpoint(addresses.instanceList()),
                PlatformAddresses.endpoint(addresses.weightStore()));
    }
}
