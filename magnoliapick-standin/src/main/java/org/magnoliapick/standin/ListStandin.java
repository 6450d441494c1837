package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A small instance list: members register, renew, expire and are marked as leaving. */
public final class ListStandin implements AutoCloseable {
    private static final String PREFIX = "/members/";
    private static final String LEAVING = "/leaving";

    private final ListOptions mOptions;
    private final StandinServer mServer;
    private final Map<String, Member> mMembers = new TreeMap<>();
    private final Set<String> mLeaving = new HashSet<>();
    private final LaggingReport<List<ObjectNode>> mView;

    private record Member(ObjectNode fields, long renewedAtMillis) {}

    private ListStandin(ListOptions options) {
        mOptions = options;
        mView = new LaggingReport<>(options.mNowMillis, options.mLagMillis, this::takeView);
        mServer = new StandinServer(options.mHost, options.mPort);
        mServer.faultyRoute("/members", this::handle);
    }

    /** Starts a list; it listens when this returns. */
    public static ListStandin start(ListOptions options) {
        ListStandin list = new ListStandin(options);
        list.mServer.start();
        return list;
    }

    /** Returns the TCP port that it listens on. */
    public int port() {
        return mServer.port();
    }

    /** Returns its fault switches. */
    public FaultSwitches faults() {
        return mServer.faults();
    }

    /** Marks a member as leaving, whatever it says of itself later. */
    public synchronized void markLeaving(String name) {
        mLeaving.add(name);
    }

    /** Drops a member and its mark. */
    public synchronized void remove(String name) {
        mMembers.remove(name);
        mLeaving.remove(name);
    }

    private synchronized List<ObjectNode> takeView() {
        long oldestMillis = mOptions.mNowMillis.getAsLong() - mOptions.mExpiryMillis;
        mMembers.values().removeIf(member -> member.renewedAtMillis() < oldestMillis);
        List<ObjectNode> view = new ArrayList<>();
        mMembers.forEach((name, member) -> view.add(fieldsOf(name, member)));
        return view;
    }

    private ObjectNode fieldsOf(String name, Member member) {
        ObjectNode fields = member.fields().deepCopy();
        boolean isLeaving = fields.path("leaving").asBoolean() || mLeaving.contains(name);
        fields.put("leaving", isLeaving);
        return fields;
    }

    private void handle(Call call) throws IOException {
        String name = call.pathAfter(PREFIX);
        switch (call.method()) {
            case "GET":
                call.reply(200, Map.of("members", list(call)));
                break;
            case "PUT":
                register(call, name);
                break;
            case "POST":
                markLeaving(name.replace(LEAVING, ""));
                call.reply(200, Map.of());
                break;
            default:
                remove(name);
                call.reply(200, Map.of());
                break;
        }
    }

    private List<ObjectNode> list(Call call) {
        return call.takes(Fault.EMPTY_LIST) ? List.of() : mView.get();
    }

    private void register(Call call, String name) throws IOException {
        if (!(call.json() instanceof ObjectNode fields)) {
            call.reply(400, Map.of("error", "not a JSON object"));
            return;
        }
        synchronized (this) {
            mMembers.put(name, new Member(fields, mOptions.mNowMillis.getAsLong()));
        }
        call.reply(200, Map.of());
    }

    @Override
    public void close() {
        mServer.close();
    }
}
