package agent

import (
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// An idle connection is closed only goAwayGrace after GOAWAY, however long it was
// idle before. Closing it earlier would cut off requests that were sent before
// GOAWAY reached the caller.
func TestConnectionsAreClosedOnlyAfterGoAwayGrace(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		requests int
		idleFor  time.Duration
		drained  bool
		wait     time.Duration
		closed   bool
	}{
		{"serving and busy", 1, time.Hour, false, 0, false},
		{"serving and briefly idle", 0, time.Second, false, 0, false},
		{"idle for long, GOAWAY not sent before", 0, time.Hour, false, 0, false},
		{"idle for long, grace after GOAWAY has passed", 0, time.Hour, false, goAwayGrace, true},
		{"idle for long before the drain", 0, time.Hour, true, 0, false},
		{"idle, grace after the drain began has passed", 0, time.Second, true, 2 * goAwayGrace, true},
		{"drained with a feed", 1, time.Hour, true, time.Hour, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			connections := newConnections(nil, 0)
			connections.setAccepting(true)
			connection := new(quic.Conn)
			connections.states[connection] = &connectionState{server: &http3.Server{}, requests: test.requests, idleSince: now.Add(-test.idleFor)}
			if test.drained {
				connections.setAccepting(false)
			}
			toClose := connections.sweepIdle(now, time.Minute)
			if test.wait > 0 {
				require.Empty(t, toClose)
				toClose = connections.sweepIdle(now.Add(test.wait), time.Minute)
			}
			require.Equal(t, test.closed, len(toClose) == 1)
			connections.wait()
		})
	}
}
