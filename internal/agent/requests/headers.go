package requests

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// maximumTimeout bounds the timeout that a caller may ask for. A longer one is reduced to it.
const maximumTimeout = 10 * time.Minute

// hopByHopFields are the header fields that apply to a single connection and are not forwarded (RFC
// 9110 section 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

// copyEndToEndFields copies the header fields that may be forwarded.
func copyEndToEndFields(to, from http.Header) {
	options := connectionOptions(from)
	for name, values := range from {
		if slices.Contains(hopByHopFields, name) || slices.Contains(options, name) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

// connectionOptions returns the field names that the Connection field lists, in canonical form.
func connectionOptions(header http.Header) []string {
	var names []string
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// matchRule returns the first rule that matches the request. Without a match the request is a call
// of weight one that is not at-most-once.
func matchRule(rules []model.RequestRule, request *http.Request) model.RequestRule {
	for _, rule := range rules {
		if rule.Method != "" && rule.Method != request.Method {
			continue
		}
		if strings.HasPrefix(request.URL.Path, rule.PathPrefix) {
			return rule
		}
	}
	return model.RequestRule{Class: model.ClassCall, Weight: 1}
}

// requestTimeout returns the timeout that the caller asks for, at most maximumTimeout, or
// defaultTimeout if it asks for none.
func requestTimeout(request *http.Request, defaultTimeout time.Duration) (time.Duration, error) {
	text := request.Header.Get(protocol.HeaderRequestTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, faults.New(faults.RequestHeaderInvalid, "%s: %q must be a whole number of milliseconds above 0", protocol.HeaderRequestTimeout, text)
	}
	if milliseconds > maximumTimeout.Milliseconds() {
		return maximumTimeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// setRemainingTimeout sets the header field with the time that remains until deadline, in
// milliseconds and at least 1.
func setRemainingTimeout(header http.Header, deadline time.Time) {
	remaining := max(time.Until(deadline).Milliseconds(), 1)
	header.Set(protocol.HeaderRequestTimeout, strconv.FormatInt(remaining, 10))
}
