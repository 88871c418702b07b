//go:build deps

package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/matryer/is"
	_ "github.com/openai/openai-go"
	_ "github.com/openai/openai-go/option"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.uber.org/zap/zaptest/observer"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/grpc"
	_ "google.golang.org/grpc/credentials"
	_ "google.golang.org/grpc/test/bufconn"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
