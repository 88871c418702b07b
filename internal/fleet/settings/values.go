package settings

import (
	"bytes"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxSecretFileBytes is the maximum size of a secret file in bytes. A larger file is
// assumed to be a mistake.
const maxSecretFileBytes = 64 << 10

func errorf(format string, args ...any) error { return errors.Errorf(format, args...) }

func (k Key) required() Key {
	k.Required = true
	return k
}

func custom(section, name, valueType, constraint, help string, set func(*Settings, string) error) Key {
	return Key{Section: section, Name: name, Type: valueType, Constraint: constraint, Help: help, set: set}
}

func text(section, name, help string, field func(*Settings) *string) Key {
	return custom(section, name, "text", "", help, func(s *Settings, value string) error {
		*field(s) = value
		return nil
	})
}

func boolean(section, name, defaultValue, help string, field func(*Settings) *bool) Key {
	k := custom(section, name, "true or false", "", help, func(s *Settings, value string) error {
		switch value {
		case "true":
			*field(s) = true
		case "false":
			*field(s) = false
		default:
			return errorf("%q is neither true nor false", value)
		}
		return nil
	})
	k.Default = defaultValue
	return k
}

func number(section, name, defaultValue string, minValue, maxValue int, help string, field func(*Settings) *int) Key {
	k := custom(section, name, "integer", strconv.Itoa(minValue)+" to "+strconv.Itoa(maxValue), help, func(s *Settings, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return errorf("%q is not an integer", value)
		}
		if n < minValue || n > maxValue {
			return errorf("%d is outside the range %d to %d", n, minValue, maxValue)
		}
		*field(s) = n
		return nil
	})
	k.Default = defaultValue
	return k
}

func duration(section, name, defaultValue string, minValue, maxValue time.Duration, help string, field func(*Settings) *time.Duration) Key {
	k := custom(section, name, "duration", minValue.String()+" to "+maxValue.String(), help, func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return errorf("%q is not a duration with a unit, such as 300ms or 3s", value)
		}
		if d < minValue || d > maxValue {
			return errorf("%s is outside the range %s to %s", d, minValue, maxValue)
		}
		*field(s) = d
		return nil
	})
	k.Default = defaultValue
	return k
}

func size(section, name, defaultValue string, minValue, maxValue int64, help string, field func(*Settings) *int64) Key {
	k := custom(section, name, "size", strconv.FormatInt(minValue, 10)+" to "+strconv.FormatInt(maxValue, 10)+" bytes", help, func(s *Settings, value string) error {
		n, err := parseSize(value)
		if err != nil {
			return err
		}
		if n < minValue || n > maxValue {
			return errorf("%s is outside the range %d to %d bytes", value, minValue, maxValue)
		}
		*field(s) = n
		return nil
	})
	k.Default = defaultValue
	return k
}

func parseSize(value string) (int64, error) {
	units := []struct {
		name  string
		bytes int64
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
	for _, u := range units {
		digits, found := strings.CutSuffix(value, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 32)
		if err != nil {
			break
		}
		return n * u.bytes, nil
	}
	return 0, errorf("%q is not a size with a unit, such as 64KiB or 4MiB", value)
}

func address(section, name, help string, field func(*Settings) *string) Key {
	return custom(section, name, "address", "IP address and port", help, func(s *Settings, value string) error {
		if err := checkAddress(value); err != nil {
			return err
		}
		*field(s) = value
		return nil
	}).required()
}

func checkAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errorf("%q is not an IP address and port, such as 127.0.0.1:7001", value)
	}
	return nil
}

func addressList(section, name, help string, field func(*Settings) *[]string) Key {
	return custom(section, name, "list of addresses", "IP address and port", help, func(s *Settings, value string) error {
		items := splitList(value)
		for _, item := range items {
			if err := checkAddress(item); err != nil {
				return err
			}
		}
		*field(s) = items
		return nil
	})
}

func splitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func file(section, name, help string, field func(*Settings) *string) Key {
	return custom(section, name, "file", "", help, func(s *Settings, value string) error {
		if value == "" {
			return nil
		}
		if _, err := os.Stat(value); err != nil {
			return errorf("file %q can't be read", value)
		}
		*field(s) = value
		return nil
	})
}

func secret(section, name, help string, field func(*Settings) *[]byte) Key {
	return custom(section, name, "file", "", help, func(s *Settings, value string) error {
		if value == "" {
			return nil
		}
		content, err := readSecret(value)
		if err != nil {
			return err
		}
		*field(s) = content
		return nil
	})
}

func readSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil || !info.Mode().IsRegular() {
		return nil, errorf("file %q can't be read", path)
	}
	if info.Size() > maxSecretFileBytes {
		return nil, errorf("file %q is larger than %d bytes", path, maxSecretFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errorf("file %q can't be read", path)
	}
	content = bytes.TrimSpace(content)
	if len(content) == 0 {
		return nil, errorf("file %q is empty", path)
	}
	return content, nil
}

func choice(section, name, defaultValue string, allowed []string, help string, field func(*Settings) *string) Key {
	k := custom(section, name, "word", strings.Join(allowed, ", "), help, func(s *Settings, value string) error {
		if !slices.Contains(allowed, value) {
			return errorf("%q is not one of %s", value, strings.Join(allowed, ", "))
		}
		*field(s) = value
		return nil
	})
	k.Default = defaultValue
	return k
}
