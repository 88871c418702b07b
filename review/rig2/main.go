//go:build review

// Command rig2 runs the scripted cases of the second review: it starts the project's
// programs on loopback addresses, plays the clients, the workers and the platform, and
// writes what was sent, answered and run.
//
//	rig2 CASE FOLDER
//
// The variable TROUBLE=0 leaves out the disruption. The exit status is 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxDuration is the longest time of a case.
const maxDuration = 110 * time.Second

func main() {
	cases := map[string]func(*rig) (bool, error){
		"departure":    departure,
		"lostDisk":     lostDisk,
		"successors":   successors,
		"deadlyPrompt": deadlyPrompt,
		"deadlyStream": deadlyStream,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(*rig) (bool, error), folder string, trouble bool) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	r, err := newRig(record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	watchdog := time.AfterFunc(maxDuration, func() {
		r.note("the case could not run: it took longer than %s", maxDuration)
		r.close()
		os.Exit(2)
	})
	broken, err := play(r)
	watchdog.Stop()
	if err != nil {
		r.note("the case could not run: %v", err)
	}
	exits := r.close()
	for _, e := range exits {
		r.note("%s", e)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken:
		r.note("RESULT: the rule was broken")
		return 1
	}
	r.note("RESULT: the rule held")
	return 0
}
