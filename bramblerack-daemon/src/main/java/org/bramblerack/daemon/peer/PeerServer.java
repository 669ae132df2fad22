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
import org.bramblerack.wire.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Accepts the connections of other hosts and hands their messages to a handler.
 *
 * <p>A malformed frame ends its connection and nothing else. Started once, stopped once; safe for use by many threads.
 */
public final class PeerServer {
    private static final int BACKLOG = 256;

    private final HostAndPort address;
    private final PeerHandler handler;
    private final EventLoopGroup group;
    private final LinkPolicy links;
    private final PeerTraffic traffic;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private @Nullable Channel listening;

    /** Creates a server that does not yet listen. */
    public PeerServer(
            HostAndPort address, PeerHandler handler, EventLoopGroup group, LinkPolicy links, PeerTraffic traffic) {
        this.address = address;
        this.handler = handler;
        this.group = group;
        this.links = links;
        this.traffic = traffic;
    }

    /**
     * Begins to listen.
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
                .childHandler(new FramePipeline(Inbound::new));
        listening = bootstrap
                .bind(new InetSocketAddress(address.getHost(), address.getPort()))
                .sync()
                .channel();
    }

    /** Stops listening and closes every connection. */
    public synchronized void stop() {
        if (listening != null) {
            listening.close().awaitUninterruptibly();
            listening = null;
        }
        channels.close().awaitUninterruptibly();
    }

    /** Hands the messages of one connection to the handler and writes the replies back to it. */
    private final class Inbound extends SimpleChannelInboundHandler<Envelope> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            channels.add(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            if (links.isPartitioned(message.getSender())) {
                return;
            }
            if (message.hasPing()) {
                context.writeAndFlush(message.toBuilder().setReply(true).build());
                return;
            }
            Channel channel = context.channel();
            long correlation = message.getCorrelationId();
            handler.handle(message, reply -> {
                if (!links.isPartitioned(message.getSender())) {
                    Envelope built =
                            reply.setReply(true).setCorrelationId(correlation).build();
                    traffic.sent(message.getSender(), built);
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
