package probe

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestListeningAndClosedPortsAreDistinguished(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.Equal(t, Answered, dialWithRetry(DialTCP, address))
	require.NoError(t, listener.Close())
	require.Equal(t, Refused, dialWithRetry(DialTCP, address))
}

func TestUnresponsiveHostIsSilentAfterAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		begin := time.Now()
		outcome := dialWithRetry(func(ctx context.Context, _ netip.AddrPort) error {
			dials++
			<-ctx.Done()
			return ctx.Err()
		}, netip.AddrPort{})
		require.Equal(t, Silent, outcome)
		require.Equal(t, maxAttempts, dials)
		require.Equal(t, maxAttempts*dialTimeout, time.Since(begin))
	})
}

func TestOneLostPacketIsRetried(t *testing.T) {
	dials := 0
	outcome := dialWithRetry(func(context.Context, netip.AddrPort) error {
		dials++
		if dials == 1 {
			return errors.New("lost")
		}
		return nil
	}, netip.AddrPort{})
	require.Equal(t, Answered, outcome)
}

func TestConcurrentProbesAreBounded(t *testing.T) {
	started := 0
	var finish []func(Outcome)
	prober := NewWithStarter(func(_ netip.AddrPort, done func(Outcome)) {
		started++
		finish = append(finish, done)
	})
	prober.Start(1, netip.AddrPort{})
	prober.Start(1, netip.AddrPort{})
	require.Equal(t, 1, started, "a key has one probe at a time")
	for key := range uint64(2 * maxConcurrent) {
		prober.Start(key, netip.AddrPort{})
	}
	require.Equal(t, maxConcurrent, started)
	finish[0](Refused)
	require.Equal(t, []Result{{Key: 1, Outcome: Refused}}, prober.Results.Drain())
	prober.Start(1, netip.AddrPort{})
	require.Equal(t, maxConcurrent+1, started)
}
