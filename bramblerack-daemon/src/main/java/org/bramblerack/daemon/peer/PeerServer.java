package org.bramblerack.daemon.peer;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.bramblerack.daemon.http.LingeringClose;
import org.bramblerack.daemon.lifecycle.BoundedStop;
import org.bramblerack.wire.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Accepts the connections of other hosts and passes their messages to a handler.
 *
 * <p>A malformed frame closes only its own connection. Started once and stopped once; safe for use by many threads.
 */
public final class PeerServer {
    private static final int BACKLOG = 256;
    /** Several round trips between regions, in which another host reads the last replies and closes its side. */
    private static final Duration MAX_LINGER = Duration.ofMillis(300);

    private final HostAndPort address;
    private final PeerHandler handler;
    private final EventLoopGroup group;
    private final LinkPolicy linkPolicy;
    private final PeerTraffic traffic;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private @Nullable Channel listening;

    /** Creates a server that does not listen yet. */
    public PeerServer(
            HostAndPort address,
            PeerHandler handler,
            EventLoopGroup group,
            LinkPolicy linkPolicy,
            PeerTraffic traffic) {
        this.address = address;
        this.handler = handler;
        this.group = group;
        this.linkPolicy = linkPolicy;
        this.traffic = traffic;
    }

    /**
     * Starts to listen.
     *
     * @throws InterruptedException if the thread is interrupted while the address is bound
     */
    public synchronized void start() throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new FramePipeline(InboundHandler::new));
        listening = bootstrap
                .bind(new InetSocketAddress(address.getHost(), address.getPort()))
                .sync()
                .channel();
    }

    /** Stops listening and closes every connection after the replies that were sent on it. */
    public synchronized void stop() {
        if (listening != null) {
            BoundedStop.await(listening.close(), "the listener for other hosts");
            listening = null;
        }
        BoundedStop.await(channels.close(), "the connections of other hosts");
    }

    /** Passes the messages of one connection to the handler and writes the replies to the connection. */
    private final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.pipeline().addFirst(new LingeringClose(MAX_LINGER));
            channels.add(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            if (linkPolicy.isPartitioned(message.getSender())) {
                return;
            }
            if (message.hasPing()) {
                context.writeAndFlush(message.toBuilder().setReply(true).build());
                return;
            }
            Channel channel = context.channel();
            long correlation = message.getCorrelationId();
            handler.handle(message, reply -> {
                if (!linkPolicy.isPartitioned(message.getSender())) {
                    Envelope built =
                            reply.setReply(true).setCorrelationId(correlation).build();
                    traffic.recordSent(message.getSender(), built);
                    channel.writeAndFlush(built);
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
