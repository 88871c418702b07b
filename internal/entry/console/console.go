// Package console implements the operators' command line.
//
// Run parses the arguments, calls the operators' API of one instance and returns
// the exit status:
//
//	os.Exit(console.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// An error is reported as one line on the error output. With --json, results are
// printed as the API returns them.
package console

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit statuses of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitRefused     = 4
	ExitUnknown     = 5
	ExitNotFound    = 6
	ExitForbidden   = 7
	ExitUnreachable = 8
)

// exitError is an error with an exit status.
type exitError struct {
	code    int
	message string
}

func (s *exitError) Error() string { return s.message }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// options holds the options common to all commands.
type options struct {
	Server    string `long:"server" env:"BILBERRYROCK_SERVER" default:"http://127.0.0.1:7002" description:"operators' API of an instance"`
	TokenFile string `long:"tokenFile" env:"BILBERRYROCK_TOKEN_FILE" description:"file with the token of the team"`
	Authority string `long:"authority" env:"BILBERRYROCK_AUTHORITY" description:"PEM file with the certificate authority of the operators' API"`
	JSON      bool   `long:"json" description:"print results as JSON"`

	out io.Writer
}

// Run runs the command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	o := &options{out: out}
	parser := flags.NewNamedParser("bilberryrock", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(parser, o); err != nil {
		fmt.Fprintln(errOut, "bilberryrock:", err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return exitStatus(err, out, errOut)
}

// exitStatus prints err, or the help text, and returns the exit status.
func exitStatus(err error, out, errOut io.Writer) int {
	var exitErr *exitError
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, "bilberryrock:", usage.Message)
		return ExitUsage
	case errors.As(err, &exitErr):
		fmt.Fprintln(errOut, "bilberryrock:", exitErr.message)
		return exitErr.code
	}
	fmt.Fprintln(errOut, "bilberryrock:", err)
	return ExitFailed
}

func addCommands(p *flags.Parser, o *options) error {
	if _, err := p.AddGroup("Options", "", o); err != nil {
		return errors.Wrap(err, "add options")
	}
	for _, c := range []struct {
		name, help string
		command    flags.Commander
	}{
		{"submit", "submit a section and wait for its outcome", &submitCommand{options: o}},
		{"diff", "compare a file with the accepted section", &diffCommand{options: o}},
		{"show", "print the accepted section", &showCommand{options: o}},
		{"history", "print the audit trail of the team", &historyCommand{options: o}},
		{"status", "print instances, active revisions and voters", &statusCommand{options: o}},
		{"explain", "print the decisions on a request", &explainCommand{options: o}},
		{"orders", "print the orders of an account whose outcome is unknown", &ordersCommand{options: o}},
		{"settle", "record whether an order with an unknown outcome ran", &settleCommand{options: o}},
		{"check", "check a section without a server", &checkCommand{options: o}},
	} {
		if _, err := p.AddCommand(c.name, c.help, "", c.command); err != nil {
			return errors.Wrapf(err, "add command %s", c.name)
		}
	}
	return nil
}
