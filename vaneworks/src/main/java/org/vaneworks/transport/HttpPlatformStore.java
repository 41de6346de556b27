package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.URLEncoder;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.store.PlatformStore;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.coordination.store.StoreException;
import org.vaneworks.coordination.store.StorePurpose;
import org.vaneworks.protocol.PlatformJson;
import org.vaneworks.state.HostPort;
import org.vaneworks.transport.HttpSender.Response;

/** Accesses the platform's store over HTTP. Thread-safe. */
public final class HttpPlatformStore implements PlatformStore {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int NO_CONTENT = 204;

  private final HttpSender sender;
  private final HostPort address;

  private HttpPlatformStore(HttpSender sender, HostPort address) {
    this.sender = checkNotNull(sender);
    this.address = checkNotNull(address);
  }

  /** Returns the store at the given address. */
  public static HttpPlatformStore at(HttpSender sender, HostPort address) {
    return new HttpPlatformStore(sender, address);
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> read(String key, StorePurpose purpose) {
    String target = PlatformJson.READ_PATH + "?key=" + encode(key);
    return Async.compose(
        sender.get(address, target, CALL_TIMEOUT),
        (response, failure) -> readEntry(response, failure, NOT_FOUND));
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> watch(
      String key, long afterRevision, Duration wait) {
    String target =
        PlatformJson.WATCH_PATH
            + "?key="
            + encode(key)
            + "&after="
            + afterRevision
            + "&waitMs="
            + wait.toMillis();
    return Async.compose(
        sender.get(address, target, wait.plus(CALL_TIMEOUT)),
        (response, failure) -> readEntry(response, failure, NO_CONTENT));
  }

  private static CompletableFuture<Optional<StoreEntry>> readEntry(
      Response response, Throwable failure, int emptyStatus) {
    if (failure != null) {
      return failed(StoreException.withoutEffect("the store did not answer: " + failure));
    }
    if (response.status() == emptyStatus) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    if (!response.isSuccess()) {
      return failed(StoreException.withoutEffect("the store answered " + response.status()));
    }
    return CompletableFuture.completedFuture(Optional.of(PlatformJson.readEntry(response.body())));
  }

  @Override
  public CompletableFuture<Optional<Long>> compareAndSwap(
      String key, long expectedRevision, String value, StorePurpose purpose) {
    String body = PlatformJson.writeSwap(key, expectedRevision, value);
    return Async.compose(
        sender.post(address, PlatformJson.SWAP_PATH, body, CALL_TIMEOUT),
        HttpPlatformStore::readSwapResult);
  }

  private static CompletableFuture<Optional<Long>> readSwapResult(
      Response response, Throwable failure) {
    if (failure != null) {
      String message = "the store did not answer: " + failure;
      return failed(
          SendFailures.neverSent(failure)
              ? StoreException.withoutEffect(message)
              : StoreException.unknownEffect(message));
    }
    if (response.status() == CONFLICT) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    if (!response.isSuccess()) {
      return failed(StoreException.unknownEffect("the store answered " + response.status()));
    }
    return CompletableFuture.completedFuture(
        Optional.of(PlatformJson.readRevision(response.body())));
  }

  private static <T> CompletableFuture<T> failed(StoreException failure) {
    return CompletableFuture.failedFuture(failure);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, UTF_8);
  }
}
