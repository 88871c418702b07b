// Command standin runs the scripts of the review. It starts the project's programs as
// processes, stands in for workers, clients, the operator and the platform, and checks
// one rule.
//
//	standin CASE RECORD    # exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// cases maps names to cases. A case returns what broke the rule, or nothing.
var cases = map[string]func(f *fleet, r *record, trouble bool) ([]string, error){}

// sparesOf is the number of controllers beyond three that a case starts itself.
var sparesOf = map[string]int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordName string) int {
	r, err := newRecord(recordName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble %t", name, trouble)
	f, err := newFleet(r, 3+sparesOf[name], 1)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.end()
		os.Exit(2)
	}()
	if err := f.begin(sparesOf[name]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := cases[name](f, r, trouble)
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(broken) > 0 {
		r.note("broken: %s", strings.Join(broken, "; "))
		fmt.Println("broken:", strings.Join(broken, "; "))
		return 1
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
