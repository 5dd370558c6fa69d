package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every machine, as in the settings on the users' DEPLOY page.
const (
	controlPort   = 8166
	readinessPort = 8167
	packetPort    = 8172
	internalFirst = 7720
	proxiedPort   = 7721
	internalLast  = 7735
	targetPort    = 8080
)

const (
	memberCount   = 3
	balancerCount = 3
	// startLimit is how long the fleet may take until it is ready.
	startLimit = 20 * time.Second
)

// zoneNames are the zones of the fleet. Machine i is in zone i modulo their number.
var zoneNames = []string{"scot-central-a", "scot-central-b", "scot-central-c"}

const regionName = "scot-central"

// machine is one machine of the system with its one process.
type machine struct {
	role    string
	address netip.Addr
	zone    string
	// listenPort is the port on which the process listens for the other nodes. It is another one than
	// that of its name behind a proxy.
	listenPort int
	// bootstrap is its setting at the next start.
	bootstrap bool
	process   *exec.Cmd
	log       *os.File
	done      chan struct{}
	// gone means that the case killed the process.
	gone bool
}

func (machine *machine) at(port int) string { return fmt.Sprintf("%s:%d", machine.address, port) }

// fleet is the system under test.
type fleet struct {
	members   []*machine
	balancers []*machine
	// network is the second and third byte of all addresses.
	network [2]byte
	record  *record
	program string
	folder  string
	// proxies stand in front of the members' ports for other nodes; empty for none.
	proxies []*proxy
}

func (fleet *fleet) address(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, fleet.network[0], fleet.network[1], last})
}

// startFleet starts members and balancers, with a proxy in front of each member's port for other nodes
// if proxied is set.
func startFleet(program, folder string, proxied bool, record *record) (*fleet, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	fleet := &fleet{network: network, record: record, program: program, folder: folder}
	for index := range memberCount {
		fleet.members = append(fleet.members, fleet.newMachine("member", byte(10+index), index))
	}
	for index := range balancerCount {
		fleet.balancers = append(fleet.balancers, fleet.newMachine("balancer", byte(100+index), index))
	}
	for _, machine := range fleet.machines() {
		if proxied && machine.role == "member" {
			if err := fleet.addProxy(machine); err != nil {
				return fleet, err
			}
		}
		if err := fleet.start(machine); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

func (fleet *fleet) newMachine(role string, last byte, index int) *machine {
	return &machine{role: role, address: fleet.address(last), zone: zoneNames[index%len(zoneNames)], listenPort: internalFirst, bootstrap: true}
}

func (fleet *fleet) machines() []*machine {
	return append(append([]*machine(nil), fleet.members...), fleet.balancers...)
}

// takenNetworks are those of this process's fleets.
var (
	takenLock     sync.Mutex
	takenNetworks = make(map[[2]byte]bool)
)

// freeNetwork returns a network of loopback addresses on which no machine's ports are in use.
func freeNetwork() ([2]byte, error) {
	takenLock.Lock()
	defer takenLock.Unlock()
	for try := range 50 {
		number := (os.Getpid()*7 + try*131) % (100 * 250)
		network := [2]byte{byte(100 + number/250), byte(1 + number%250)}
		address := netip.AddrFrom4([4]byte{127, network[0], network[1], 10})
		free := !takenNetworks[network]
		for _, port := range []int{controlPort, internalFirst, proxiedPort, internalLast, targetPort, packetPort, readinessPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", address, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			takenNetworks[network] = true
			return network, nil
		}
	}
	return [2]byte{}, errors.New("no free loopback network")
}

// settings returns the settings file of a machine: the template of its role in deploy/templates,
// filled with the fields of a small deployment.
func (fleet *fleet) settings(machine *machine) string {
	var seeds, zones []string
	for _, member := range fleet.members[:memberCount] {
		seeds = append(seeds, fmt.Sprintf("%q", member.at(controlPort)))
	}
	for _, zone := range zoneNames {
		zones = append(zones, fmt.Sprintf("{name: %q, region: %q }", zone, regionName))
	}
	lines := []string{
		fmt.Sprintf("node: %q", machine.at(internalFirst)),
		fmt.Sprintf("zone: %q", machine.zone),
		fmt.Sprintf("region: %q", regionName),
		fmt.Sprintf("data_folder: %q", fleet.dataFolder(machine)),
		fmt.Sprintf("listen: %q", machine.at(machine.listenPort)),
	}
	direct := []string{
		"direct:",
		"  seeds: [" + strings.Join(seeds, ",") + "]",
		fmt.Sprintf("  member_port: %d", internalFirst),
	}
	if machine.role == "member" {
		lines = append(lines, fmt.Sprintf("status: %q", machine.at(internalLast)))
		direct = append(direct, fmt.Sprintf("  bootstrap: %t", machine.bootstrap), fmt.Sprintf("  api: %q", machine.at(controlPort)),
			"  tolerated_losses: 1", fmt.Sprintf("  renewal_interval: \"%dms\"", heartbeatInterval.Milliseconds()),
			"  tolerated_zones: 0", "  flow_life: \"60s\"")
	} else {
		lines = append(lines, fmt.Sprintf("status: %q", machine.at(readinessPort)))
		direct = append(direct, "  link_megabits: 1000", "  zones: ["+strings.Join(zones, ",")+"]",
			fmt.Sprintf("  renewals: %q", machine.at(internalLast)), fmt.Sprintf("  packets: %q", machine.at(packetPort)),
			"  flow_life: \"60s\"")
	}
	lines = append(append(lines, direct...), "log:", "  output: true", "  ring_lines: 256")
	return strings.Join(lines, "\n") + "\n"
}

// start starts a machine's process with the command of the deploy file.
func (fleet *fleet) start(machine *machine) error {
	own := filepath.Join(fleet.folder, machine.address.String())
	if err := os.MkdirAll(fleet.dataFolder(machine), 0o750); err != nil {
		return err
	}
	settings := filepath.Join(own, "local.yaml")
	if err := os.WriteFile(settings, []byte(fleet.settings(machine)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(own, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	machine.log = log
	machine.process = exec.Command(fleet.program, machine.role)
	machine.process.Env = append(os.Environ(), "MERLINPADDLE_BOOT="+settings)
	machine.process.Stdout = log
	machine.process.Stderr = log
	machine.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := machine.process.Start(); err != nil {
		return err
	}
	machine.gone = false
	done, process := make(chan struct{}), machine.process
	machine.done = done
	go func() {
		_ = process.Wait()
		close(done)
	}()
	fleet.record.line("started %s %s in %s, process %d", machine.role, machine.address, machine.zone, machine.process.Process.Pid)
	return nil
}

// dataFolder returns the folder that stands for the machine's disk.
func (fleet *fleet) dataFolder(machine *machine) string {
	return filepath.Join(fleet.folder, machine.address.String(), "data")
}

// kill kills a machine's process, as a loss of the machine does.
func (fleet *fleet) kill(machine *machine) {
	_ = machine.process.Process.Kill()
	<-machine.done
	_ = machine.log.Close()
	machine.gone = true
	fleet.record.line("killed %s %s", machine.role, machine.address)
}

// loseDisk kills a machine's process, empties its disk and starts it again at its old address.
func (fleet *fleet) loseDisk(machine *machine) error {
	fleet.kill(machine)
	if err := os.RemoveAll(fleet.dataFolder(machine)); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	machine.bootstrap = false
	if err := fleet.start(machine); err != nil {
		return err
	}
	fleet.record.line("%s %s is back with an empty disk", machine.role, machine.address)
	return nil
}

// graceTime is grace-s: the platform sends SIGKILL this long after SIGTERM.
const graceTime = 6 * time.Second

// terminate stops a machine's process for good, as the platform does.
func (fleet *fleet) terminate(machine *machine) {
	fleet.record.line("SIGTERM to %s %s", machine.role, machine.address)
	machine.gone = true
	_ = machine.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-machine.done:
		fleet.record.line("%s %s has ended", machine.role, machine.address)
	case <-time.After(graceTime):
		fleet.kill(machine)
	}
}

// checkRunning fails if a process has ended by itself.
func (fleet *fleet) checkRunning() error {
	for _, machine := range fleet.machines() {
		if machine.gone {
			continue
		}
		select {
		case <-machine.done:
			return fmt.Errorf("%s %s ended by itself", machine.role, machine.address)
		default:
		}
	}
	return nil
}

// stop ends all processes. If the variable DRILL_LOGS names a folder, it copies their logs there.
func (fleet *fleet) stop() {
	for _, proxy := range fleet.proxies {
		_ = proxy.listener.Close()
	}
	for _, machine := range fleet.machines() {
		if machine.done == nil {
			continue
		}
		_ = machine.process.Process.Kill()
		<-machine.done
		_ = machine.log.Close()
		if folder := os.Getenv("DRILL_LOGS"); folder != "" {
			content, _ := os.ReadFile(machine.log.Name())
			_ = os.WriteFile(filepath.Join(folder, machine.role+"-"+machine.address.String()+".log"), content, 0o600)
		}
	}
}

// awaitReady waits until all balancers are ready, which needs a configuration.
func (fleet *fleet) awaitReady() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, balancer := range fleet.balancers {
			if status, _, err := call(http.MethodGet, balancer.at(readinessPort), "/readyz", nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(fleet.balancers) {
			fleet.record.line("all %d balancers are ready", ready)
			return nil
		}
	}
	return errors.New("the balancers did not become ready")
}

// callTimeout is how long callers wait for a response before they turn to another node.
const callTimeout = time.Second

// call sends one request on a connection of its own.
func call(method, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body == nil {
		request.Body = nil
		request.ContentLength = 0
	} else {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// putConfig sends a configuration to one member after the other until it is acknowledged, or
// refused with 400.
func (fleet *fleet) putConfig(content map[string]any) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	for end, index := time.Now().Add(startLimit), 0; time.Now().Before(end); index++ {
		member := fleet.members[index%len(fleet.members)]
		status, answer, err := call(http.MethodPut, member.at(controlPort), "/config", body)
		fleet.record.line("operator: PUT /config at %s: status %d, error %v; sent %s", member.address, status, err, body)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status == http.StatusBadRequest:
			return fmt.Errorf("the configuration is refused: %s", answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// routeAddress is the platform address of the only route.
func (fleet *fleet) routeAddress() netip.AddrPort {
	return netip.MustParseAddrPort("198.18.0.1:8443")
}

const (
	declaredService = "huvo11a"
	undeclaredName  = "sidecar-metrics"
)

// config returns a configuration with one route and one service, in the form of the PROTOCOL page.
func (fleet *fleet) config(version int, service map[string]any) map[string]any {
	declared := map[string]any{
		"name": declaredService, "health-check-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false,
	}
	for name, value := range service {
		declared[name] = value
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-a3hwrr6", "hostname": fleet.routeAddress().Addr().String(),
			"path-prefix": fmt.Sprintf("/%d/", fleet.routeAddress().Port()), "type": "unsafe",
			"timeout-ms": 4000, "aim-ms": 500, "priority": 1, "service": declaredService, "max-attempts": 2,
		}},
		"services": []any{declared},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	}
}
