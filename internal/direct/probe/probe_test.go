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

func TestListeningAndDeadPortsAreToldApart(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.Equal(t, Answered, attempt(DialTCP, address))
	require.NoError(t, listener.Close())
	require.Equal(t, Refused, attempt(DialTCP, address))
}

func TestMachineThatDoesNotAnswerIsSilentAfterTwoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		begin := time.Now()
		outcome := attempt(func(ctx context.Context, _ netip.AddrPort) error {
			dials++
			<-ctx.Done()
			return ctx.Err()
		}, netip.AddrPort{})
		require.Equal(t, Silent, outcome)
		require.Equal(t, attempts, dials)
		require.Equal(t, attempts*dialTimeout, time.Since(begin))
	})
}

func TestOneLostPacketIsNoSilence(t *testing.T) {
	dials := 0
	outcome := attempt(func(context.Context, netip.AddrPort) error {
		dials++
		if dials == 1 {
			return errors.New("lost")
		}
		return nil
	}, netip.AddrPort{})
	require.Equal(t, Answered, outcome)
}

func TestProbesAreBounded(t *testing.T) {
	started := 0
	var finish []func(Outcome)
	prober := NewWithStarter(func(_ netip.AddrPort, done func(Outcome)) {
		started++
		finish = append(finish, done)
	})
	prober.Start(1, netip.AddrPort{})
	prober.Start(1, netip.AddrPort{})
	require.Equal(t, 1, started, "one probe of a key at a time")
	for key := range uint64(2 * concurrent) {
		prober.Start(key, netip.AddrPort{})
	}
	require.Equal(t, concurrent, started)
	finish[0](Refused)
	require.Equal(t, []Result{{Key: 1, Outcome: Refused}}, prober.Results.Drain())
	prober.Start(1, netip.AddrPort{})
	require.Equal(t, concurrent+1, started)
}
