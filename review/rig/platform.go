package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router stands for the platform's routers: it asks each balancer twice a second whether it is
// ready, and picks a node by the hash of a flow's addresses and ports, modulo the nodes that are in.
type router struct {
	fleet *fleet

	lock   sync.Mutex
	misses map[*machine]int
	// polledAt is when all balancers were last polled.
	polledAt time.Time
	// onChange is called when a node comes in or goes out.
	onChange func(m *machine, in bool)
}

func newRouter(f *fleet) *router {
	r := &router{fleet: f, misses: make(map[*machine]int), onChange: func(*machine, bool) {}}
	for _, m := range f.balancers {
		r.misses[m] = missesToLeave
	}
	return r
}

// missesToLeave is the number of missed polls after which a node is out.
const missesToLeave = 2

// pollInterval is the time between two polls of a node.
const pollInterval = 500 * time.Millisecond

// run polls all balancers until done is closed.
func (r *router) run(done <-chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		r.lock.Lock()
		r.polledAt = time.Now()
		r.lock.Unlock()
		for _, m := range r.fleet.balancers {
			go r.poll(m)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (r *router) poll(m *machine) {
	ready := m.ready()
	r.lock.Lock()
	before := r.misses[m]
	if ready {
		r.misses[m] = 0
	} else {
		r.misses[m]++
	}
	after := r.misses[m]
	r.lock.Unlock()
	if (before < missesToLeave) != (after < missesToLeave) {
		r.fleet.record.note("routers: balancer %s of %s is in: %t", m.address, m.zone, after < missesToLeave)
		r.onChange(m, after < missesToLeave)
	}
}

// nextPoll returns when the balancers are polled next.
func (r *router) nextPoll() time.Time {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.polledAt.Add(pollInterval)
}

// missedAll reports whether all of the nodes have missed a poll.
func (r *router) missedAll(nodes map[string]*machine) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, m := range nodes {
		if r.misses[m] == 0 {
			return false
		}
	}
	return true
}

// allIn reports whether all balancers are in.
func (r *router) allIn() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, misses := range r.misses {
		if misses >= missesToLeave {
			return false
		}
	}
	return true
}

// pick returns the address of the node that a packet of the flow goes to now.
func (r *router) pick(zone string, key flowKey) (netip.Addr, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	var all, in []netip.Addr
	for _, m := range r.fleet.balancers {
		if m.zone != zone {
			continue
		}
		all = append(all, m.address)
		if r.misses[m] < missesToLeave {
			in = append(in, m.address)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	if len(in) == 0 {
		return netip.Addr{}, false
	}
	return in[key.hash()%uint64(len(in))], true
}

// hash returns the hash of the flow's four addresses and ports.
func (key flowKey) hash() uint64 {
	sum := fnv.New64a()
	for _, end := range []netip.AddrPort{key.client, key.service} {
		address := end.Addr().As4()
		_, _ = sum.Write(address[:])
		_, _ = sum.Write(binary.BigEndian.AppendUint16(nil, end.Port()))
	}
	value := sum.Sum64()
	return value ^ value>>29
}

// operator sends configurations.
type operator struct {
	record  *record
	nodes   []string
	version int
	// timeoutMS is the time-out of all routes, which some changes alter.
	timeoutMS int
	// routes has the service of each route.
	routes map[netip.AddrPort]string
}

// put sends the operator's routes under the next version until a node acknowledges them.
func (o *operator) put() error {
	o.version++
	return o.send(o.version, o.body(), 0)
}

// putRace sends two versions, the second one gap after the first and to another node: the first
// alters time-outs, the second adds a route.
func (o *operator) putRace(route netip.AddrPort, gap time.Duration) error {
	o.timeoutMS = (o.timeoutMS + 1) % 50
	o.version++
	version, body := o.version, o.body()
	first := make(chan error, 1)
	go func() { first <- o.send(version, body, 1) }()
	time.Sleep(gap)
	o.routes[route] = feedService
	if err := o.put(); err != nil {
		return err
	}
	return <-first
}

// body returns the configuration of the present version.
func (o *operator) body() []byte {
	services := map[string]bool{}
	var routes, serviceBodies []map[string]any
	for address, service := range o.routes {
		routes = append(routes, map[string]any{
			"name": "r-" + address.String(), "hostname": address.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", address.Port()),
			"type": "unsafe", "timeout-ms": 1500 + o.timeoutMS, "aim-ms": 100, "priority": 2, "service": service, "max-attempts": 2,
		})
		if !services[service] {
			services[service] = true
			serviceBodies = append(serviceBodies, map[string]any{
				"name": service, "health-check-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false,
			})
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes, "services": serviceBodies,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err) // The body has only types that can be encoded.
	}
	return body
}

// send sends a version until a node acknowledges it, the node with the given index first.
func (o *operator) send(version int, body []byte, firstNode int) error {
	for try := range 40 {
		node := o.nodes[(firstNode+try)%len(o.nodes)]
		if status := putConfig(node, body); status == http.StatusOK {
			o.record.note("operator: version %d is acknowledged by %s", version, node)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", version)
}

func putConfig(node string, body []byte) int {
	request, err := http.NewRequest(http.MethodPut, "http://"+node+"/config", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

// readVersion reads the configuration from a node and returns its version, or zero and the status of
// the answer.
func readVersion(node string) (version, status int) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + node + "/config")
	if err != nil {
		return 0, 0
	}
	defer answer.Body.Close()
	var body struct {
		Version int `json:"version"`
	}
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&body) != nil {
		return 0, answer.StatusCode
	}
	return body.Version, answer.StatusCode
}

// slowPath is a way to a node of the control plane that holds back all bytes of a connection for
// some time after it was opened, as a cut does. It delivers them even if their sender has ended.
type slowPath struct {
	record   *record
	name     string
	node     string
	hold     time.Duration
	listener net.Listener
}

func newSlowPath(record *record, name, node string, address netip.Addr, hold time.Duration) (*slowPath, error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return nil, err
	}
	path := &slowPath{record: record, name: name, node: node, hold: hold, listener: listener}
	go path.accept()
	return path, nil
}

// address returns the address at which the node is reached by this way.
func (path *slowPath) address() string { return path.listener.Addr().String() }

func (path *slowPath) accept() {
	for {
		connection, err := path.listener.Accept()
		if err != nil {
			return
		}
		go path.carry(connection, time.Now().Add(path.hold))
	}
}

// carry collects the bytes of a connection until release, delivers them, and passes the answer back.
func (path *slowPath) carry(connection net.Conn, release time.Time) {
	defer connection.Close()
	var held bytes.Buffer
	buffer := make([]byte, largestReceive)
	for {
		_ = connection.SetReadDeadline(release)
		size, err := connection.Read(buffer)
		held.Write(buffer[:size])
		if err != nil {
			break
		}
	}
	time.Sleep(time.Until(release))
	upstream, err := net.Dial("tcp4", path.node)
	if err != nil {
		path.record.note("%s: the node cannot be reached: %v", path.name, err)
		return
	}
	defer upstream.Close()
	_, _ = upstream.Write(held.Bytes())
	_ = upstream.SetReadDeadline(time.Now().Add(2 * time.Second))
	size, _ := upstream.Read(buffer)
	answer, _, _ := bytes.Cut(buffer[:size], []byte("\r\n"))
	path.record.note("%s: a call that was held back for %s reaches %s, which answers %q", path.name, path.hold, path.node, answer)
	_, _ = connection.Write(buffer[:size])
}
