#pragma once

#include <bronzering/testkit/event_loop.h>
#include <bronzering/testkit/fake_engine.h>
#include <bronzering/testkit/fleet.h>
#include <bronzering/testkit/history.h>
#include <bronzering/testkit/history_checker.h>
#include <bronzering/testkit/job.h>
#include <bronzering/testkit/workload.h>
