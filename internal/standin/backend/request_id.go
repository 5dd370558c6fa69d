package backend

import "net/http"

// echoRequestID copies the request's X-Request-Id to every answer, refusals included, as the
// contract between agent and back end requires. Handlers may replace it.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if id := request.Header.Get(headerRequestID); id != "" {
			writer.Header().Set(headerRequestID, id)
		}
		next.ServeHTTP(writer, request)
	})
}
