package listener

//go:generate ../../../bin/stringer -type Reason -linecomment -output reason_string.go

// Reason tells why a connection was closed or a request was refused.
type Reason int

// The reasons.
const (
	HeadBytes   Reason = iota // headBytes
	HeadLines                 // headLines
	EmptyLines                // emptyLines
	HeadMemory                // headMemory
	BodyMemory                // bodyMemory
	Connections               // connections
	reasonCount
)
