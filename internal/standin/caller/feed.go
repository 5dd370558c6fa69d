package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// feedEndGrace is how long a feed may take to end after its requested length.
const feedEndGrace = 5 * time.Second

// feedMessage is one server-sent event.
type feedMessage struct {
	id    uint64
	event string
	data  string
}

// feed keeps one feed open for the caller's whole run. When the feed is cut it reopens it and
// resumes after the last update received.
type feed struct {
	options    Options
	pool       *pool
	recorder   *recorder
	identifier string
	random     *rand.Rand
	// lastID is the identifier of the latest update, or zero before the first.
	lastID uint64
}

// run keeps the feed open until deadline. requestContext ends when the caller stops. A feed that
// was cut at least once counts as broken, even if a later attempt reached its end.
func (feed *feed) run(requestContext context.Context, deadline time.Time) {
	feed.recorder.recordOffered(ClassFeed)
	started := time.Now()
	var last outcome
	broken := false
	for attempt := 1; ; attempt++ {
		identifier := fmt.Sprintf("%s.%d", feed.identifier, attempt)
		opened := time.Now()
		last = feed.attempt(requestContext, identifier, deadline)
		last.elapsed = time.Since(opened)
		feed.recorder.recordAttempt(ClassFeed, identifier, last)
		broken = broken || last.kind == outcomeBroken
		if last.kind == outcomeDelivered || last.kind == outcomeCrossed || last.kind == outcomeAbandoned {
			break
		}
		delay := retryDelay(min(attempt, maximumAttempts), last.retryAfter, feed.random)
		if time.Now().Add(delay).After(deadline) || !waitToRetry(requestContext, delay) {
			break
		}
	}
	if broken {
		last.kind = outcomeBroken
	}
	feed.recorder.recordOutcome(job{class: ClassFeed, identifier: feed.identifier}, last, time.Since(started))
}

// attempt opens the feed once, on a dedicated connection, and reads it to its end.
func (feed *feed) attempt(ctx context.Context, identifier string, deadline time.Time) outcome {
	connection, err := feed.pool.open(ctx)
	if err != nil {
		return outcome{kind: outcomeNotSent, err: err}
	}
	defer connection.close()
	length := max(time.Until(deadline), time.Millisecond).Round(time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, length+feedEndGrace)
	defer cancel()
	request, err := newRequest(ctx, http.MethodGet, feed.options.Address.String()+"/feed/live?for="+length.String(), identifier, nil)
	if err != nil {
		return outcome{kind: outcomeNotSent, err: err}
	}
	if feed.lastID > 0 {
		request.Header.Set(headerLastEventID, strconv.FormatUint(feed.lastID, 10))
	}
	response, failure := roundTrip(ctx, connection, request)
	if response == nil {
		return failure
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maximumReplyBytes))
		return refusal(response, body)
	}
	result := feed.read(ctx, connection, response.Body, identifier)
	result.node = connection.nodeName()
	return result
}

// read reads the feed's messages to its end and checks each.
func (feed *feed) read(ctx context.Context, connection *flow, body io.Reader, identifier string) outcome {
	reader := bufio.NewReader(body)
	latest := time.Now()
	for {
		message, err := readMessage(reader)
		if err != nil {
			result := classifyError(ctx, fmt.Errorf("the feed was cut after update %d: %w", feed.lastID, err))
			if result.kind == outcomeUnknown {
				// A feed that timed out sent no end event, so it counts as cut.
				result.kind = outcomeBroken
			}
			return result
		}
		feed.recorder.recordFeedSilence(time.Since(latest))
		latest = time.Now()
		if !strings.Contains(message.data, strconv.Quote(identifier)) {
			return outcome{kind: outcomeCrossed, err: fmt.Errorf("the update is not of feed %s: %s", identifier, message.data)}
		}
		connection.setNode(messageNode(message))
		if message.event == "end" {
			return outcome{kind: outcomeDelivered, status: http.StatusOK}
		}
		feed.checkSequence(message.id)
	}
}

// messageNode returns the back end that a message names, or unknownNode.
func messageNode(message feedMessage) string {
	var named reply
	if json.Unmarshal([]byte(message.data), &named) != nil || named.Node == "" {
		return unknownNode
	}
	return named.Node
}

// checkSequence counts the update id and any duplicate or gap that it reveals.
func (feed *feed) checkSequence(id uint64) {
	switch {
	case id <= feed.lastID:
		feed.recorder.recordFeedDuplicate()
		return
	case id > feed.lastID+1:
		feed.recorder.recordFeedGap(id - feed.lastID - 1)
	}
	feed.lastID = id
	feed.recorder.recordFeedUpdate()
}

// readMessage reads one server-sent event up to its blank line.
func readMessage(reader *bufio.Reader) (feedMessage, error) {
	var message feedMessage
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return feedMessage{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && message.data == "" {
			continue
		}
		if line == "" {
			return message, nil
		}
		if err := message.add(line); err != nil {
			return feedMessage{}, err
		}
	}
}

// add parses one line of a server-sent event into message. It ignores unknown fields.
func (message *feedMessage) add(line string) error {
	field, value, _ := strings.Cut(line, ": ")
	switch field {
	case "id":
		id, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return fmt.Errorf("feed identifier %q: %w", value, err)
		}
		message.id = id
	case "event":
		message.event = value
	case "data":
		message.data += value
	}
	return nil
}
