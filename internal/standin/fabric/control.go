package fabric

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"merlinpaddle/internal/faults"
)

// maximumControlBytes bounds a request to the control endpoint.
const maximumControlBytes = 64 << 10

// controlProblem is the body of an error answer (RFC 9457).
type controlProblem struct {
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Code   faults.Code `json:"code"`
	Detail string      `json:"detail"`
}

// ControlHandler returns the HTTP endpoint at which tests and demonstrations set network
// impairments:
//
//	GET    /impairments  returns the current impairments
//	PUT    /impairments  replaces all impairments
//	DELETE /impairments  removes all impairments
//	GET    /balancers    returns the number of live balancers
func (fabric *Fabric) ControlHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/impairments", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, fabric.network.impairments.Load())
	})
	router.Put("/impairments", fabric.putImpairments)
	router.Delete("/impairments", func(writer http.ResponseWriter, _ *http.Request) {
		fabric.network.impairments.Store(&Impairments{})
		writer.WriteHeader(http.StatusNoContent)
	})
	router.Get("/balancers", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, balancerCount{Live: fabric.machines.Live()})
	})
	return router
}

// balancerCount is the answer to GET /balancers.
type balancerCount struct {
	Live int `json:"live"`
}

func (fabric *Fabric) putImpairments(writer http.ResponseWriter, request *http.Request) {
	var wanted Impairments
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		writeProblem(writer, faults.New(faults.FabricControlRefused, "impairments cannot be read: %v", err))
		return
	}
	if err := wanted.Validate(); err != nil {
		writeProblem(writer, err)
		return
	}
	fabric.network.impairments.Store(&wanted)
	writeJSON(writer, http.StatusOK, wanted)
}

func writeProblem(writer http.ResponseWriter, err error) {
	writer.Header().Set("Content-Type", "application/problem+json")
	status := faults.StatusOf(err)
	writer.WriteHeader(status)
	// A write error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(writer).Encode(controlProblem{
		Title: http.StatusText(status), Status: status, Code: faults.CodeOf(err), Detail: err.Error(),
	})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
