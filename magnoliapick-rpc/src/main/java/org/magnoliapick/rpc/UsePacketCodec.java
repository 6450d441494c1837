package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.thrift.TException;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.PoolCause;
import org.magnoliapick.pool.PoolDecision;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.PoolMessage;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.rpc.gen.UseAsk;
import org.magnoliapick.rpc.gen.UseDecision;
import org.magnoliapick.rpc.gen.UsePacket;
import org.magnoliapick.rpc.gen.UsePart;
import org.magnoliapick.rpc.gen.UseWithdrawal;

/** Turns packets between gateways into bytes and back. */
public final class UsePacketCodec {
    private static final int MAX_LIST_SIZE = 10_000;

    private static final CompactBytes BYTES = new CompactBytes(MAX_LIST_SIZE);

    private UsePacketCodec() {}

    /** Encodes a packet. */
    public static byte[] encode(InstancePacket packet, long nowMillis) {
        UsePacket message = new UsePacket(packet.from().value(), packet.address());
        packet.report().ifPresent(report -> message.setReport(UseCodec.report(report)));
        packet.storeUpdate().ifPresent(news -> message.setNews(UseCodec.news(news, nowMillis)));
        packet.suspects()
                .ifPresent(each -> message.setSuspects(SuspectCodec.update(each, nowMillis)));
        packet.rateLimits()
                .ifPresent(each -> message.setLimits(RateLimitCodec.update(each, nowMillis)));
        NoticeCodec.write(packet.notices(), message, nowMillis);
        if (!packet.acknowledgedGrants().isEmpty()) {
            message.setGrantsTaken(packet.acknowledgedGrants());
        }
        for (PoolMessage each : packet.messages()) {
            if (each instanceof PoolMessage.Query ask) {
                message.addToAsks(ask(ask.job(), nowMillis));
            } else if (each instanceof PoolMessage.Reply decide) {
                message.addToDecisions(decision(decide));
            } else if (each instanceof PoolMessage.Withdrawal withdraw) {
                message.addToWithdrawals(new UseWithdrawal(withdraw.queryId(), withdraw.service()));
            }
        }
        return BYTES.write(message);
    }

    /**
     * Decodes a packet for an instance; whatever the bytes are, it returns.
     *
     * @param to the instance that received it
     */
    public static Optional<InstancePacket> decode(byte[] bytes, InstanceId to, long nowMillis) {
        try {
            UsePacket message = BYTES.read(new UsePacket(), bytes);
            return Optional.of(packet(message, to, nowMillis));
        } catch (TException | RuntimeException e) {
            return Optional.empty();
        }
    }

    private static InstancePacket packet(UsePacket message, InstanceId to, long nowMillis) {
        InstanceId from = new InstanceId(message.getFromInstance());
        List<PoolMessage> messages = new ArrayList<>();
        if (message.isSetAsks()) {
            message.getAsks()
                    .forEach(
                            each ->
                                    messages.add(
                                            new PoolMessage.Query(to, job(each, from, nowMillis))));
        }
        if (message.isSetDecisions()) {
            for (UseDecision each : message.getDecisions()) {
                messages.add(new PoolMessage.Reply(to, each.getServiceName(), decision(each)));
            }
        }
        if (message.isSetWithdrawals()) {
            for (UseWithdrawal each : message.getWithdrawals()) {
                messages.add(
                        new PoolMessage.Withdrawal(to, each.getServiceName(), each.getNumber()));
            }
        }
        return new InstancePacket(
                from,
                message.getAddress(),
                message.isSetReport()
                        ? Optional.of(UseCodec.report(message.getReport()))
                        : Optional.empty(),
                message.isSetGrantsTaken() ? message.getGrantsTaken() : Map.of(),
                message.isSetNews()
                        ? Optional.of(UseCodec.news(message.getNews(), nowMillis))
                        : Optional.empty(),
                message.isSetSuspects()
                        ? Optional.of(SuspectCodec.update(message.getSuspects(), nowMillis))
                        : Optional.empty(),
                message.isSetLimits()
                        ? Optional.of(RateLimitCodec.update(message.getLimits(), nowMillis))
                        : Optional.empty(),
                NoticeCodec.read(message, nowMillis),
                messages);
    }

    private static UseAsk ask(PoolJob job, long nowMillis) {
        List<UsePart> parts = new ArrayList<>();
        job.prompt().parts().forEach(each -> parts.add(new UsePart(each.id(), each.tokens())));
        UseAsk ask =
                new UseAsk(
                        job.queryId(),
                        job.id(),
                        job.service(),
                        job.account().value(),
                        job.prompt().promptTokens(),
                        job.prompt().maxOutputTokens(),
                        parts,
                        job.objectiveMillis(),
                        job.dueMillis() - nowMillis,
                        job.rank(),
                        job.domain().value());
        if (!job.fingerprint().equals(Fingerprint.UNKNOWN)) {
            ask.setFingerprint(job.fingerprint().bits());
        }
        if (job.callerRetry()) {
            ask.setReturned(true);
        }
        if (job.answerStarted()) {
            ask.setUnderWay(true);
        }
        if (!job.excluded().isEmpty()) {
            ask.setExcluded(job.excluded().stream().map(UpstreamId::value).toList());
        }
        if (!job.unreachable().isEmpty()) {
            ask.setLost(job.unreachable().stream().map(UpstreamId::value).toList());
        }
        return ask;
    }

    private static PoolJob job(UseAsk ask, InstanceId asker, long nowMillis) {
        List<PromptPart> parts = new ArrayList<>();
        ask.getParts().forEach(each -> parts.add(new PromptPart(each.getId(), each.getTokens())));
        return new PoolJob(
                ask.getRequestId(),
                ask.getServiceName(),
                new WorkspaceId(ask.getAccount()),
                new FailureDomain(ask.getDomain()),
                new Prompt(ask.getPromptTokens(), ask.getOutputTokens(), parts),
                new Fingerprint(ask.getFingerprint()),
                ask.getObjectiveMillis(),
                nowMillis + ask.getOnTimeInMillis(),
                ask.isReturned(),
                upstreams(ask.isSetExcluded() ? ask.getExcluded() : List.of()),
                upstreams(ask.isSetLost() ? ask.getLost() : List.of()),
                ask.isUnderWay(),
                ask.getRank(),
                nowMillis,
                Optional.of(asker),
                ask.getNumber());
    }

    private static Set<UpstreamId> upstreams(List<String> names) {
        return names.stream().map(UpstreamId::new).collect(Collectors.toSet());
    }

    private static UseDecision decision(PoolMessage.Reply decide) {
        PoolDecision decision = decide.decision();
        UseDecision message = new UseDecision(decision.queryId(), decide.service());
        if (decision instanceof PoolDecision.Start start) {
            message.setUpstream(start.upstream().value());
            message.setGrant(start.grant());
            message.setNewTokens(start.newTokens());
            message.setAheadTokens(start.aheadTokens());
            message.setCause(start.cause().ordinal());
        } else if (decision instanceof PoolDecision.Refuse refuse) {
            message.setCause(refuse.cause().ordinal());
            message.setRetryAfterMillis(refuse.retryAfterMillis());
        }
        return message;
    }

    private static PoolDecision decision(UseDecision message) {
        if (message.isSetUpstream()) {
            return new PoolDecision.Start(
                    message.getNumber(),
                    message.getGrant(),
                    new UpstreamId(message.getUpstream()),
                    message.getNewTokens(),
                    message.getAheadTokens(),
                    cause(message));
        }
        return message.isSetRetryAfterMillis()
                ? new PoolDecision.Refuse(
                        message.getNumber(), cause(message), message.getRetryAfterMillis())
                : new PoolDecision.Queued(message.getNumber());
    }

    private static PoolCause cause(UseDecision message) {
        return PoolCause.values()[message.getCause()];
    }
}
