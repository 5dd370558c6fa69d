package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
)

// maximumControlBytes bounds the body of a control request.
const maximumControlBytes = 16 << 10

// Load is the body of GET /load.
type Load struct {
	// Running is the number of calls and uploads in progress, each of which holds a slot.
	Running int64 `json:"running"`
	Slots   int64 `json:"slots"`
	// Feeds is the number of open feeds. They hold no slots.
	Feeds int64 `json:"feeds"`
}

// Control is the body of PUT /control.
type Control struct {
	// Misbehavior replaces the active faults.
	Misbehavior []string `json:"misbehavior"`
	// Draining makes the back end refuse new requests and feeds and report that it is not healthy.
	Draining bool `json:"draining"`
}

// frozenReports holds the health and load from just before the active faults were set.
type frozenReports struct {
	lock    sync.Mutex
	healthy bool
	load    Load
}

func (reports *frozenReports) capture(healthy bool, load Load) {
	reports.lock.Lock()
	defer reports.lock.Unlock()
	reports.healthy = healthy
	reports.load = load
}

func (reports *frozenReports) read() (bool, Load) {
	reports.lock.Lock()
	defer reports.lock.Unlock()
	return reports.healthy, reports.load
}

func (server *Server) actualHealth() bool {
	return !server.draining.Load() && !server.faults.contains(Shed)
}

func (server *Server) actualLoad() Load {
	return Load{
		Running: server.running.Load(),
		Slots:   int64(server.options.Slots),
		Feeds:   server.feeds.Load(),
	}
}

// reportedHealth returns the health that /health reports, given the active faults.
func (server *Server) reportedHealth() bool {
	if server.faults.contains(HealthFrozen) {
		healthy, _ := server.frozen.read()
		return healthy
	}
	if server.faults.contains(Wrong) {
		return !server.actualHealth()
	}
	return server.actualHealth()
}

// reportedLoad returns the load that /load reports, given the active faults.
func (server *Server) reportedLoad() Load {
	if server.faults.contains(LoadFrozen) {
		_, load := server.frozen.read()
		return load
	}
	load := server.actualLoad()
	if server.faults.contains(Wrong) {
		load.Running = load.Slots - load.Running
	}
	return load
}

func (server *Server) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	if !server.reportedHealth() {
		writeProblem(writer, http.StatusServiceUnavailable, "no", "the back end is not healthy")
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	fmt.Fprint(writer, `{"status":"ok"}`)
}

func (server *Server) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(server.reportedLoad())
}

func (server *Server) serveControl(writer http.ResponseWriter, request *http.Request) {
	var control Control
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		writeProblem(writer, http.StatusBadRequest, "no", "control cannot be read: "+err.Error())
		return
	}
	faults, err := ParseMisbehaviors(control.Misbehavior)
	if err != nil {
		writeProblem(writer, http.StatusUnprocessableEntity, "no", err.Error())
		return
	}
	server.SetFaults(faults)
	server.draining.Store(control.Draining)
	writer.WriteHeader(http.StatusNoContent)
}
