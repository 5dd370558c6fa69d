package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// serveFeed sends a feed: server-sent events with consecutive identifiers from one. With a
// Last-Event-ID header the feed resumes after that identifier. The query parameter "for" sets its
// length as a duration; its last message is then an event named "end".
func (server *Server) serveFeed(writer http.ResponseWriter, request *http.Request) {
	if server.faults.contains(Shed) || server.draining.Load() {
		writeProblem(writer, http.StatusServiceUnavailable, "no", "the back end accepts no new feeds")
		return
	}
	length, err := feedLength(request)
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, "no", err.Error())
		return
	}
	identity := identify(request, classFeed)
	server.record(EventStart, identity, 0)
	server.feeds.Add(1)
	defer server.feeds.Add(-1)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-store")
	writer.Header().Set(headerRequestID, identity.headerID)
	writer.WriteHeader(http.StatusOK)
	updates, complete := server.sendUpdates(writer, request, identity, length)
	if complete {
		server.record(EventCompleted, identity, updates)
		return
	}
	server.record(EventCancelled, identity, updates)
}

// feedLength returns the requested length of the feed; zero means unlimited.
func feedLength(request *http.Request) (time.Duration, error) {
	text := request.URL.Query().Get("for")
	if text == "" {
		return 0, nil
	}
	length, err := time.ParseDuration(text)
	if err != nil || length <= 0 {
		return 0, fmt.Errorf("query parameter for=%q: must be a positive duration", text)
	}
	return length, nil
}

// sendUpdates sends updates until the feed's length has passed or the client has disconnected. It
// returns the number of updates sent and whether the feed ended with its end event.
func (server *Server) sendUpdates(writer http.ResponseWriter, request *http.Request, identity runIdentity, length time.Duration) (int, bool) {
	lastID, _ := strconv.ParseUint(request.Header.Get(headerLastEventID), 10, 64)
	controller := http.NewResponseController(writer)
	ticker := time.NewTicker(server.options.FeedInterval)
	defer ticker.Stop()
	var end <-chan time.Time
	if length > 0 {
		timer := time.NewTimer(length)
		defer timer.Stop()
		end = timer.C
	}
	for sent := 0; ; sent++ {
		number := lastID + uint64(sent) + 1
		fmt.Fprintf(writer, "id: %d\ndata: {\"request\":%q,\"sequence\":%d,\"node\":%q}\n\n", number, identity.request, number, server.options.Node)
		if controller.Flush() != nil {
			return sent, false
		}
		select {
		case <-request.Context().Done():
			return sent + 1, false
		case <-end:
			fmt.Fprintf(writer, "event: end\ndata: {\"request\":%q,\"updates\":%d,\"node\":%q}\n\n", identity.request, sent+1, server.options.Node)
			return sent + 1, controller.Flush() == nil
		case <-ticker.C:
		}
	}
}
