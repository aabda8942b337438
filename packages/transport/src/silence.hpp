#pragma once

/**
 * @file
 * Finds connections that have gone silent without a reset.
 */

namespace carobtide {

/**
 * Has the kernel end a connection whose peer acknowledges nothing: within a
 * second and a half while bytes are on their way, within four seconds while it
 * is idle. A socket that refuses an option ends at the time-out of whoever
 * waits for it instead.
 *
 * Thread safety: any thread.
 */
void DetectSilence(int aSocket);

} // namespace carobtide
