package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// verdict is the outcome of a case that ran.
type verdict struct {
	broken bool
	text   string
}

// caseOptions are what a case gets.
type caseOptions struct {
	fleet *fleet
	// trouble is false for the run without the disruption.
	trouble bool
	record  *record
}

// cases has the function of each case by the name that the flag -case takes.
var cases = map[string]scriptedCase{
	"replaced-core":      {run: replacedCore},
	"other-zone":         {run: otherZone},
	"second-loss":        {run: secondLoss, proxied: true},
	"leaving-address":    {run: leavingAddress},
	"restarted-leaver":   {run: restartedLeaver},
	"fractional-seconds": {run: fractionalSeconds},
}

// scriptedCase is a case. Its fleet has proxies in front of the members if proxied is set.
type scriptedCase struct {
	run     func(caseOptions) (verdict, error)
	proxied bool
}

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	lock  *sync.Mutex
	file  *os.File
	start time.Time
	// name is that of the case, which begins each line.
	name string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{lock: &sync.Mutex{}, file: file, start: time.Now()}, nil
}

func (record *record) line(format string, arguments ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	_, _ = fmt.Fprintf(record.file, "%s %8.3f %s\n", record.name, time.Since(record.start).Seconds(), fmt.Sprintf(format, arguments...))
}

func main() {
	names := flag.String("case", "", "cases to play beside each other, with a comma between")
	program := flag.String("program", "target/merlinplatform", "program under test")
	recordPath := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(strings.Split(*names, ","), *program, *recordPath, os.Getenv("TROUBLE") != "0"))
}

// play runs cases, each on a fleet of its own, and returns the exit code: that of a broken rule if one
// of them broke it, else that of a case that could not run if there is one.
func play(names []string, program, recordPath string, trouble bool) int {
	all, err := newRecord(recordPath)
	if err != nil {
		fmt.Println("no run:", err)
		return exitNoRun
	}
	codes := make([]int, len(names))
	var ended sync.WaitGroup
	for index, name := range names {
		ended.Add(1)
		go func() {
			defer ended.Done()
			codes[index] = playOne(name, program, trouble, all)
		}()
	}
	ended.Wait()
	switch {
	case slices.Contains(codes, exitBroken):
		return exitBroken
	case slices.Contains(codes, exitNoRun):
		return exitNoRun
	}
	return exitHeld
}

// playOne runs one case and returns its exit code.
func playOne(name, program string, trouble bool, all *record) int {
	record := &record{file: all.file, start: all.start, lock: all.lock, name: name}
	chosen, known := cases[name]
	if !known {
		fmt.Printf("%s: no run: unknown case\n", name)
		return exitNoRun
	}
	result, err := runCase(chosen, program, trouble, record)
	if err != nil {
		record.line("no run: %v", err)
		fmt.Printf("%s: no run: %v\n", name, err)
		return exitNoRun
	}
	record.line("verdict: broken=%t, trouble=%t: %s", result.broken, trouble, result.text)
	fmt.Printf("%s: broken=%t trouble=%t: %s\n", name, result.broken, trouble, result.text)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}

// runCase starts a fleet, runs a case on it and ends all its processes.
func runCase(chosen scriptedCase, program string, trouble bool, record *record) (result verdict, err error) {
	program, err = filepath.Abs(program)
	if err != nil {
		return verdict{}, err
	}
	folder, err := os.MkdirTemp("", "drill-")
	if err != nil {
		return verdict{}, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	fleet, err := startFleet(program, folder, chosen.proxied, record)
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	result, err = chosen.run(caseOptions{fleet: fleet, trouble: trouble, record: record})
	if err == nil {
		err = fleet.checkRunning()
	}
	return result, err
}
