package org.magnoliapick.ports.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.hc.core5.http.HttpStatus;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.InstanceList;
import org.magnoliapick.ports.ListedMember;

/** Reaches the instance list over HTTP. */
final class HttpInstanceList implements InstanceList {
    private final JsonClient mClient;
    private final Endpoint mList;

    HttpInstanceList(HttpTransport transport, Endpoint list) {
        mClient = new JsonClient(transport);
        mList = list;
    }

    @Override
    public Optional<List<ListedMember>> fetch(Duration timeout) {
        return mClient.get(mList, "/members", timeout, HttpInstanceList::decode);
    }

    private static List<ListedMember> decode(JsonNode node) throws ExchangeException {
        List<ListedMember> members = new ArrayList<>();
        for (JsonNode member : Json.arrayAt(node, "members")) {
            members.add(decodeMember(member));
        }
        return members;
    }

    private static ListedMember decodeMember(JsonNode node) throws ExchangeException {
        return new ListedMember(
                Json.textAt(node, "name"),
                decodeRole(Json.textAt(node, "role")),
                Json.textAt(node, "domain"),
                Json.textAt(node, "host"),
                Json.intAt(node, "port"),
                Json.intAt(node, "peerPort"),
                Set.copyOf(Json.textsAt(node, "targets")),
                Json.booleanAt(node, "leaving"));
    }

    private static ListedMember.Role decodeRole(String name) throws ExchangeException {
        for (ListedMember.Role role : ListedMember.Role.values()) {
            if (role.name().equals(name)) {
                return role;
            }
        }
        throw Json.malformed("a known role, not '" + name + "'");
    }

    @Override
    public boolean register(ListedMember member, Duration timeout) {
        try {
            String path = "/members/" + Paths.encode(member.name());
            return mClient.send("PUT", mList, path, encode(member), timeout)
                    < HttpStatus.SC_REDIRECTION;
        } catch (ExchangeException e) {
            return false;
        }
    }

    private static ObjectNode encode(ListedMember member) {
        ObjectNode node = Json.mapper().createObjectNode();
        node.put("name", member.name());
        node.put("role", member.role().name());
        node.put("domain", member.domain());
        node.put("host", member.host());
        node.put("port", member.port());
        node.put("peerPort", member.peerPort());
        ArrayNode targets = node.putArray("targets");
        new TreeSet<>(member.targets()).forEach(targets::add);
        node.put("leaving", member.leaving());
        return node;
    }
}
