package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// maximumBodyBytes bounds the body of a registration.
const maximumBodyBytes = 64 << 10

// problem is the body of an error answer (RFC 9457).
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// NewHandler returns the platform's HTTP interface:
//
//	GET    /machines         returns the list as it was one delay ago
//	POST   /machines         adds or replaces one machine
//	DELETE /machines/{name}  removes one machine
func NewHandler(history *History) http.Handler {
	router := chi.NewRouter()
	router.Get("/machines", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, history.List(time.Now()))
	})
	router.Post("/machines", func(writer http.ResponseWriter, request *http.Request) {
		register(history, writer, request)
	})
	router.Delete("/machines/{name}", func(writer http.ResponseWriter, request *http.Request) {
		remove(history, writer, chi.URLParam(request, "name"))
	})
	return router
}

func register(history *History, writer http.ResponseWriter, request *http.Request) {
	var machine Machine
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&machine); err != nil {
		writeProblem(writer, http.StatusBadRequest, fmt.Sprintf("machine cannot be read: %v", err))
		return
	}
	if err := machine.Validate(); err != nil {
		writeProblem(writer, http.StatusUnprocessableEntity, err.Error())
		return
	}
	history.Put(time.Now(), machine)
	writeJSON(writer, http.StatusOK, machine)
}

func remove(history *History, writer http.ResponseWriter, name string) {
	if !history.Remove(time.Now(), name) {
		writeProblem(writer, http.StatusNotFound, fmt.Sprintf("machine %q is not listed", name))
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func writeProblem(writer http.ResponseWriter, status int, detail string) {
	writer.Header().Set("Content-Type", "application/problem+json")
	writer.WriteHeader(status)
	// A write error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(writer).Encode(problem{Title: http.StatusText(status), Status: status, Detail: detail})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
